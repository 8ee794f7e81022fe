/*
 * Founding of the control group from three seeds, some of which have no disk, are
 * away at first or for ever, are killed, or lose their disks at any moment.
 * Properties: no two groups are committed, so that no configuration is confirmed
 * in one and missing in the other, whatever disks are lost; and what was committed
 * stays on a disk when one disk is lost.
 *
 * A candidate needs the votes of a majority of the seeds, each for one candidate a
 * term. The winner's first log entry sets the voters; the group exists once that
 * entry, or one after it, is on a majority of the seeds. A vote is for the disk
 * that was set up at the first start: a disk that was emptied comes back without
 * that mark.
 *
 * A seed that was never heard counts as one with a disk. Requests are answered at
 * once or not at all, and answers wait at the candidate or leader while all else
 * goes on; what follows the founding is in agreement.pml and replacement.pml.
 *
 * docs/design/platform.md describes the rules; check.sh runs the model and its
 * mutants.
 */

#define SEEDS 3

#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef LOSSES
#define LOSSES 3
#endif

byte with_disk;             /* seeds from this one on have no disk */

/* Durable. */
byte term[SEEDS];
byte vote[SEEDS];           /* seed + 1, 0 for none */
byte last_term[SEEDS];      /* of the last log entry, 0 for an empty log */
byte group[SEEDS];          /* term and founder of the group that the log founds, 0 for none */
bool is_first[SEEDS];       /* the disk was set up at the first start of the system */

/* Volatile. */
bool is_up[SEEDS];
bool is_candidate[SEEDS];
bool is_leader[SEEDS];
byte answers[SEEDS];        /* set of seeds that voted, or have the leader's log */
byte diskless[SEEDS];       /* number of seeds without a disk that were heard */

byte committed;             /* group */
byte losses;
byte kills;
byte i;
byte j;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define MAJORITY(r) ((SEEDS - diskless[r]) / 2 + 1)

#ifdef MUTANT_FOUNDS_ALONE
#define VOTES_NEEDED(r) 1
#else
#define VOTES_NEEDED(r) MAJORITY (r)
#endif

#ifdef MUTANT_ONE_DISK_COMMITS
#define COPIES_NEEDED(r) 1
#else
#define COPIES_NEEDED(r) MAJORITY (r)
#endif

#ifdef MUTANT_ANY_DISK_VOTES
#define COUNTS(r) true
#else
#define COUNTS(r) is_first[r]
#endif

#ifdef MUTANT_TWO_VOTES_A_TERM
#define MAY_VOTE true
#else
#define MAY_VOTE (vote[j] == 0 || vote[j] == i + 1)
#endif

inline forget (r)
{
  is_up[r] = false;
  is_candidate[r] = false;
  is_leader[r] = false;
  answers[r] = 0;
  diskless[r] = 0
}

/* Seed r learns of a higher term. */
inline follow (r, new_term)
{
  if
  :: term[r] < new_term ->
       term[r] = new_term;
       vote[r] = 0;
       is_candidate[r] = false;
       is_leader[r] = false;
       answers[r] = 0
  :: else
  fi
}

inline start ()
{
  !is_up[i] && i < with_disk -> is_up[i] = true
}

inline hear_diskless ()
{
  is_up[i] && diskless[i] < SEEDS - with_disk -> diskless[i]++
}

inline stand ()
{
  is_up[i] && COUNTS (i) && !is_leader[i] && term[i] < MAX_TERM ->
    term[i]++;
    vote[i] = i + 1;
    is_candidate[i] = true;
    answers[i] = 1 << i
}

inline grant ()
{
  i != j && is_candidate[i] && is_up[j] && COUNTS (j) && term[j] <= term[i] ->
    follow (j, term[i]);
    if
    :: MAY_VOTE && last_term[j] <= last_term[i] ->
         vote[j] = i + 1;
         answers[i] = answers[i] | (1 << j)
    :: else
    fi
}

/* The first entry of a leader's term founds the group, unless its log does already. */
inline win ()
{
  is_candidate[i] && COUNT (answers[i]) >= VOTES_NEEDED (i) ->
    is_candidate[i] = false;
    is_leader[i] = true;
    answers[i] = 1 << i;
    last_term[i] = term[i];
    if
    :: group[i] == 0 -> group[i] = term[i] * SEEDS + i
    :: else
    fi
}

/* A disk that was emptied gets the log, but does not count. */
inline replicate ()
{
  i != j && is_leader[i] && is_up[j] && term[j] <= term[i] ->
    follow (j, term[i]);
    is_candidate[j] = false;
    last_term[j] = last_term[i];
    group[j] = group[i];
    if
    :: COUNTS (j) -> answers[i] = answers[i] | (1 << j)
    :: else
    fi
}

inline commit ()
{
  is_leader[i] && COUNT (answers[i]) >= COPIES_NEEDED (i) ->
    assert (committed == 0 || committed == group[i]);
    committed = group[i]
}

inline kill_process ()
{
  is_up[i] && kills < KILLS ->
    kills++;
#ifdef MUTANT_VOTE_UNSYNCED
    vote[i] = 0;
    if
    :: term[i] > last_term[i] -> term[i]--
    :: else
    fi;
#endif
    forget (i)
}

inline lose_disk ()
{
  i < with_disk && losses < LOSSES ->
    losses++;
    term[i] = 0;
    vote[i] = 0;
    last_term[i] = 0;
    group[i] = 0;
    is_first[i] = false;
    forget (i);
    assert (losses > 1 || with_disk == 1 || committed == 0 || group[0] == committed ||
            group[1] == committed || group[2] == committed)
}

init
{
  atomic {
    if :: with_disk = 1 :: with_disk = 2 :: with_disk = 3 fi;
    is_first[0] = true;
    is_first[1] = with_disk > 1;
    is_first[2] = with_disk > 2
  }
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j == 0 ->
            if
            :: start ()
            :: hear_diskless ()
            :: stand ()
            :: win ()
            :: commit ()
            :: kill_process ()
            :: lose_disk ()
            :: skip
            fi
       :: grant ()
       :: replicate ()
       :: skip
       fi;
       i = 0;
       j = 0
     }
  od
}
