/*
 * Replacement of a voter: a replica at a new address, or with a new disk and so
 * a new identity, takes the place of one that is lost. The group is changed by
 * one committed entry at a time, by the leader, as in Ongaro's thesis
 * (Consensus: Bridging Theory and Practice, 2014, chapter 4).
 *
 * Property: what is committed at a position of the log is never replaced by
 * another entry, whatever leaders overlap and whichever disk is lost.
 *
 * Replicas 0 to 2 are the first voters, 3 is the one that joins. An entry is a
 * term and a group as a set of bits; 0 is an entry of data. An election and a
 * transfer of a leader's log are one step each; acknowledgements reach the
 * leader at any later time. core/agreement/wl_raft_group.c has the rules;
 * check.sh runs the model and its mutants.
 */

#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 4
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define REPLICAS 4
#define FIRST_GROUP 7 /* replicas 0, 1 and 2 */

#define AT(r, k) ((r) * MAX_LOG + (k))
#define HAS(set, r) (((set) >> (r)) & 1)
#define SIZE(set) (HAS (set, 0) + HAS (set, 1) + HAS (set, 2) + HAS (set, 3))

/* Durable. */
byte entry_term[REPLICAS * MAX_LOG];
byte entry_group[REPLICAS * MAX_LOG];
byte log_size[REPLICAS];
byte term[REPLICAS];
bool is_lost[REPLICAS];

/* Of a leader. */
bool is_leader[REPLICAS];
byte commit[REPLICAS];      /* entries that it knows to be committed */
byte term_start[REPLICAS];  /* size of its log with the first entry of its term */
byte acked[REPLICAS * REPLICAS];

/* What was committed anywhere, for the property. */
byte committed_term[MAX_LOG];
byte n_committed;

byte losses;
byte l;
byte r;
byte k;
byte group;       /* latest group in the log of l */
byte group_size;  /* size of the log with it */
byte votes;

inline find_group (x)
{
  k = log_size[x];
  do
  :: entry_group[AT (x, k - 1)] == 0 -> k--
  :: else -> break
  od;
  group = entry_group[AT (x, k - 1)];
  group_size = k
}

/* Whether the log of l is as new as that of x. */
#define LAST_TERM(x) (log_size[x] == 0 -> 0 : entry_term[AT (x, log_size[x] - 1)])
#define IS_AS_NEW(x) (LAST_TERM (l) > LAST_TERM (x) || \
                      (LAST_TERM (l) == LAST_TERM (x) && log_size[l] >= log_size[x]))

inline append (new_group)
{
  entry_term[AT (l, log_size[l])] = term[l];
  entry_group[AT (l, log_size[l])] = new_group;
  log_size[l]++;
  acked[l * REPLICAS + l] = log_size[l]
}

/* l asks for votes under a new term; any of those that may vote do. */
inline elect ()
{
  find_group (l);
  term[l] < MAX_TERM && log_size[l] < MAX_LOG && HAS (group, l) ->
    term[l]++;
    is_leader[l] = false;
    votes = 1;
    r = 0;
    do
    :: r < REPLICAS ->
         if
         :: r != l && !is_lost[r] && HAS (group, r) && term[r] < term[l] && IS_AS_NEW (r) ->
              term[r] = term[l];
              is_leader[r] = false;
              votes++
         :: true
         fi;
         r++
    :: else -> break
    od;
    if
    :: 2 * votes > SIZE (group) ->
         is_leader[l] = true;
         commit[l] = 0;
         acked[l * REPLICAS + 0] = 0; acked[l * REPLICAS + 1] = 0;
         acked[l * REPLICAS + 2] = 0; acked[l * REPLICAS + 3] = 0;
         append (0);
         term_start[l] = log_size[l]
    :: else
    fi
}

/* r takes the log of l; voters of the group and the one that is to join do. */
inline replicate ()
{
  is_leader[l] && r != l && !is_lost[r] && term[r] <= term[l] ->
    term[r] = term[l];
    is_leader[r] = false;
    k = 0;
    do
    :: k < log_size[l] ->
         entry_term[AT (r, k)] = entry_term[AT (l, k)];
         entry_group[AT (r, k)] = entry_group[AT (l, k)];
         k++
    :: else -> break
    od;
    do
    :: k < MAX_LOG -> entry_term[AT (r, k)] = 0; entry_group[AT (r, k)] = 0; k++
    :: else -> break
    od;
    log_size[r] = log_size[l];
    acked[l * REPLICAS + r] = log_size[l]
}

#define ACKS(x) (HAS (group, x) && acked[l * REPLICAS + (x)] >= r)

/* l commits its log up to size r. */
inline advance ()
{
  is_leader[l] && r > commit[l] && r <= log_size[l] && entry_term[AT (l, r - 1)] == term[l] ->
    find_group (l);
    votes = ACKS (0) + ACKS (1) + ACKS (2) + ACKS (3);
    if
    :: 2 * votes > SIZE (group) ->
         commit[l] = r;
         k = 0;
         do
         :: k < r ->
              assert (k >= n_committed || committed_term[k] == entry_term[AT (l, k)]);
              committed_term[k] = entry_term[AT (l, k)];
              k++
         :: else -> break
         od;
         if :: n_committed < r -> n_committed = r :: else fi
    :: else
    fi
}

#ifdef MUTANT_CHANGE_UNCOMMITTED
#define MAY_CHANGE (commit[l] >= term_start[l])
#else
#ifdef MUTANT_CHANGE_BEFORE_OWN_ENTRY
#define MAY_CHANGE (group_size <= commit[l] || term_start[l] > commit[l])
#else
#define MAY_CHANGE (group_size <= commit[l] && commit[l] >= term_start[l])
#endif
#endif

inline change ()
{
  is_leader[l] && log_size[l] < MAX_LOG ->
    find_group (l);
    if
    :: MAY_CHANGE && !HAS (group, r) && !is_lost[r] ->
#ifdef MUTANT_SWAP
         /* The new voter and the removal of another one in a single entry. */
         if
         :: l != 0 -> append ((group | (1 << r)) & ~1)
         :: l != 1 -> append ((group | (1 << r)) & ~2)
         :: l != 2 -> append ((group | (1 << r)) & ~4)
         fi
#else
         append (group | (1 << r))
#endif
    :: MAY_CHANGE && HAS (group, r) && r != l && SIZE (group) >= 3 -> append (group & ~(1 << r))
    :: else
    fi
}

/* The disk is lost and the identity with it: it neither votes nor acknowledges again. */
inline lose_disk ()
{
  losses < LOSSES && !is_lost[l] ->
    losses++;
    is_lost[l] = true;
    is_leader[l] = false;
    log_size[l] = 1; /* never looked at again; keeps find_group () within the log */
    entry_group[AT (l, 0)] = FIRST_GROUP
}

init
{
  atomic {
    r = 0;
    do
    :: r < 3 ->
         entry_term[AT (r, 0)] = 1; entry_group[AT (r, 0)] = FIRST_GROUP;
         log_size[r] = 1; term[r] = 1;
         r++
    :: else -> break
    od;
    entry_group[AT (3, 0)] = FIRST_GROUP; log_size[3] = 1;
    committed_term[0] = 1; n_committed = 1
  }
  do
  :: atomic {
       if :: l = 0 :: l = 1 :: l = 2 :: l = 3 fi;
       if :: r = 0 :: r = 1 :: r = 2 :: r = 3 fi;
       if
       :: r == 0 && !is_lost[l] -> if :: elect () :: skip fi
       :: !is_lost[l] -> if :: replicate () :: skip fi
       :: !is_lost[l] -> if :: r++; advance () :: skip fi
       :: !is_lost[l] -> if :: change () :: skip fi
       :: r == 0 -> if :: lose_disk () :: skip fi
       fi;
       l = 0; r = 0; k = 0; group = 0; group_size = 0; votes = 0
     }
  od
}
