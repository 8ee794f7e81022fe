/*
 * Agreement of the control group: election, append, commit, restart, and a
 * replica whose disk was lost. Properties: one leader a term; no committed
 * entry is lost or replaced.
 *
 * A replica's messages are modelled by reading the other replica's state at
 * the moment of receipt, which covers every delay, loss and repetition that
 * leaves the receiver's checks in force. Pre-vote and the leader's stepping
 * down only remove behaviour and are left out.
 *
 * docs/design/agreement.md maps each transition to its function in the code.
 * check.sh runs the model and its mutants.
 */

#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef WIPES
#define WIPES 0
#endif
#ifndef READS
#define READS 0
#endif
#define NONE 3

#define IS_MAJORITY(set) ((set) == 3 || (set) >= 5)

/* Durable. */
byte term[3];
byte vote[3];
byte log_len[3];        /* 0 to 2 entries */
byte log_term0[3];
byte log_term1[3];
byte is_voter[3];       /* 0 for a new identity that is not yet a voter */

/* Volatile. */
byte role[3];           /* 0 follower, 1 candidate, 2 leader */
byte votes[3];          /* replicas that voted for it, as bits */
byte acks[3];           /* replicas whose log equals the leader's, as bits */
#if WIPES > 0
byte group_acks[3];     /* replicas that acknowledged an entry since a disk was lost */
#endif

/* What operators were told. */
byte committed_len;
byte committed_term0;
byte committed_term1;

#if READS
/* One read at a time, of the text that was committed when it came. */
byte read_by;           /* leader that was asked, plus 1 */
byte read_term;         /* its term then */
byte read_len;          /* entries that operators had been told of */
byte read_acks;         /* replicas that confirmed the leader since, as bits */
byte known_len[3];      /* entries that a leader knows to be committed in its term */
#endif

byte elected[5];        /* leader of each term, plus 1 */
byte crashes;
byte wipes;

byte i;
byte j;
byte mine;
byte theirs;

#define LAST_TERM(r) (log_len[r] == 0 -> 0 : (log_len[r] == 1 -> log_term0[r] : log_term1[r]))
#ifdef MUTANT_COMMIT_OLD_TERM
#define MAY_COMMIT true
#else
#define MAY_COMMIT (LAST_TERM (i) == term[i])
#endif
#if WIPES > 0
#define GROUP_AGREES ((VOTERS | (1 << i)) == 7 && ((group_acks[j] | (1 << j)) & VOTERS) == VOTERS)
#else
#define GROUP_AGREES false
#endif
#define VOTERS ((is_voter[0]) + (is_voter[1] * 2) + (is_voter[2] * 4))

inline become_candidate ()
{
  is_voter[i] && role[i] != 2 && term[i] < MAX_TERM ->
    term[i]++;
    vote[i] = i;
    role[i] = 1;
    votes[i] = 1 << i;
    acks[i] = 0
}

inline on_vote_request ()
{
  i != j && role[j] == 1 && is_voter[i] && is_voter[j] &&
  (term[j] > term[i] || (term[j] == term[i] && (vote[i] == NONE || vote[i] == j))) ->
    mine = LAST_TERM (i);
    theirs = LAST_TERM (j);
    if
    :: theirs > mine || (theirs == mine && log_len[j] >= log_len[i]) ->
         if
         :: term[j] > term[i] -> role[i] = 0; votes[i] = 0; acks[i] = 0
         :: else
         fi;
         term[i] = term[j];
         vote[i] = j;
         votes[j] = votes[j] | (1 << i)
    :: else ->
         /* A higher term ends the old one, also without a vote. */
         if
         :: term[j] > term[i] ->
              role[i] = 0; votes[i] = 0; acks[i] = 0; term[i] = term[j]; vote[i] = NONE
         :: else
         fi
    fi;
    mine = 0;
    theirs = 0
}

inline become_leader ()
{
  role[i] == 1 && IS_MAJORITY (votes[i]) ->
    assert (elected[term[i]] == 0 || elected[term[i]] == i + 1);
    elected[term[i]] = i + 1;
    role[i] = 2;
#if READS
    known_len[i] = 0;
#endif
    acks[i] = 1 << i
}

inline propose ()
{
  role[i] == 2 && log_len[i] < 2 ->
    if
    :: log_len[i] == 0 -> log_term0[i] = term[i]
    :: else -> log_term1[i] = term[i]
    fi;
    log_len[i]++;
    acks[i] = 1 << i
}

inline on_append ()
{
  i != j && role[j] == 2 && term[j] >= term[i] ->
    if
    :: term[j] > term[i] -> term[i] = term[j]; vote[i] = NONE
    :: else
    fi;
    role[i] = 0;
    votes[i] = 0;
    acks[i] = 0;
    log_len[i] = log_len[j];
    log_term0[i] = log_term0[j];
    log_term1[i] = log_term1[j];
    acks[j] = acks[j] | (1 << i)
#if READS
    ;
    known_len[i] = 0;
    if
    :: read_by == j + 1 && read_term == term[j] -> read_acks = read_acks | (1 << i)
    :: else
    fi
#endif
#if WIPES > 0
    ;
    group_acks[j] = group_acks[j] | (1 << i)
#endif
}

inline advance_commit ()
{
  role[i] == 2 && log_len[i] > 0 && IS_MAJORITY (acks[i] & VOTERS) && MAY_COMMIT ->
    /* An old leader may learn late that a prefix of what is committed now was committed. */
    assert (committed_len < 1 || log_term0[i] == committed_term0);
    assert (committed_len < 2 || log_len[i] < 2 || log_term1[i] == committed_term1);
    if
    :: log_len[i] > committed_len ->
         committed_len = log_len[i];
         committed_term0 = log_term0[i];
         committed_term1 = log_term1[i]
    :: else
    fi
#if READS
    ;
    known_len[i] = log_len[i]
#endif
}

#if READS
inline ask_read ()
{
  role[i] == 2 && read_by == 0 ->
    read_by = i + 1;
    read_term = term[i];
    read_len = committed_len;
#ifdef MUTANT_READ_UNCONFIRMED
    read_acks = 7
#else
    read_acks = 1 << i
#endif
}

/* Only a leader that has committed an entry of its own term knows what is committed. */
inline answer_read ()
{
  role[i] == 2 && read_by == i + 1 && read_term == term[i] && IS_MAJORITY (read_acks) &&
#ifdef MUTANT_READ_BEFORE_OWN_ENTRY
  true ->
#else
  known_len[i] > 0 ->
#endif
    assert (known_len[i] >= read_len);
    read_by = 0;
    read_term = 0;
    read_len = 0;
    read_acks = 0
}
#endif

inline restart ()
{
  crashes < CRASHES ->
    crashes++;
    role[i] = 0;
    votes[i] = 0;
#ifdef MUTANT_VOTE_UNSYNCED
    vote[i] = NONE; /* the vote was not on disk */
#endif
    acks[i] = 0
}

/* A lost disk: nothing is left, and the new data folder has a new identity. */
inline lose_disk ()
{
  wipes < WIPES && is_voter[i] ->
    wipes++;
#if WIPES > 0
    group_acks[0] = 0;
    group_acks[1] = 0;
    group_acks[2] = 0;
#endif
    role[i] = 0;
    votes[i] = 0;
    acks[i] = 0;
    term[i] = 0;
    vote[i] = NONE;
    log_len[i] = 0;
    log_term0[i] = 0;
#ifndef MUTANT_VOTE_EMPTY
    is_voter[i] = 0;
    acks[0] = acks[0] & (7 - (1 << i));
    acks[1] = acks[1] & (7 - (1 << i));
    acks[2] = acks[2] & (7 - (1 << i));
#endif
    log_term1[i] = 0
}

/*
 * A caught-up learner becomes a voter. Removing the lost identity is a new
 * log entry, and both remaining voters must acknowledge it, since they are the
 * whole group until the new identity is added. With two disks lost at once
 * there is no such group: the operator must act.
 */
inline manage_group ()
{
  i != j && role[j] == 2 && !is_voter[i] && (acks[j] & (1 << i)) && term[i] == term[j] &&
  GROUP_AGREES && LAST_TERM (j) == term[j] && committed_len == log_len[j] ->
    is_voter[i] = 1
}

init
{
  atomic {
    vote[0] = NONE; vote[1] = NONE; vote[2] = NONE;
    is_voter[0] = 1; is_voter[1] = 1; is_voter[2] = 1
  }
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j == 0 ->
            if
            :: become_candidate ()
            :: become_leader ()
            :: propose ()
            :: advance_commit ()
#if READS
            :: ask_read ()
            :: answer_read ()
#endif
            :: restart ()
            :: lose_disk ()
            :: skip
            fi
       :: on_vote_request ()
       :: on_append ()
       :: manage_group ()
       :: skip
       fi;
       i = 0;
       j = 0
     }
  od
}
