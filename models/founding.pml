/*
 * Founding of the control group from three seeds with disks, and what comes
 * after it until a change is acknowledged. Properties: no second group is
 * founded once a change was acknowledged, whatever disks are lost, so that an
 * empty system never stands in for one that was lost; and what was acknowledged
 * stays on a disk when one disk is lost.
 *
 * Seed 0 has the lowest address. A report tells whether a disk is empty; it is
 * believed for a while, so it may be out of date. Disks may be lost at any
 * time, also before the founding; processes may be killed.
 *
 * docs/design/platform.md describes the rules; check.sh runs the model and its
 * mutants.
 */

#define SEEDS 3

/* Durable. */
byte group[SEEDS];          /* group whose log it has, 0 for none */
bool is_first[SEEDS];       /* the disk was set up at the first start of the system */
bool is_voter[SEEDS];       /* under its present identity */

/* Volatile. */
bool has_heard[SEEDS * SEEDS];   /* i has heard j since its start */
bool is_empty[SEEDS * SEEDS];    /* the latest report of j that i believes */

byte groups;                /* founded */
byte acknowledged;          /* group whose change an operator was told of */
byte losses;
byte kills;
byte i;
byte j;

#define AT(a, b) ((a) * SEEDS + (b))
#define HEARD_ALL (has_heard[AT (i, (i + 1) % SEEDS)] && has_heard[AT (i, (i + 2) % SEEDS)])
#define ALL_EMPTY (is_empty[AT (i, (i + 1) % SEEDS)] && is_empty[AT (i, (i + 2) % SEEDS)])

#ifdef MUTANT_ANY_DISK_FOUNDS
#define MAY_FOUND true
#else
#define MAY_FOUND is_first[i]
#endif

#ifdef MUTANT_LOWEST_HEARD
/* Whoever knows of no lower seed yet. */
#define IS_LOWEST (i == 0 || (i == 1 && !has_heard[AT (1, 0)]))
#define KNOWS_ALL (has_heard[AT (i, (i + 1) % SEEDS)] || has_heard[AT (i, (i + 2) % SEEDS)])
#define OTHERS_EMPTY ((!has_heard[AT (i, (i + 1) % SEEDS)] || is_empty[AT (i, (i + 1) % SEEDS)]) && \
                      (!has_heard[AT (i, (i + 2) % SEEDS)] || is_empty[AT (i, (i + 2) % SEEDS)]))
#else
#define IS_LOWEST (i == 0)
#define KNOWS_ALL HEARD_ALL
#define OTHERS_EMPTY ALL_EMPTY
#endif

#ifdef MUTANT_ONE_VOTER_ACKNOWLEDGES
#define ENOUGH_VOTERS 1
#else
#define ENOUGH_VOTERS 2
#endif

#define VOTERS(g) ((is_voter[0] && group[0] == (g)) + (is_voter[1] && group[1] == (g)) + \
                   (is_voter[2] && group[2] == (g)))

inline forget (r)
{
  has_heard[AT (r, 0)] = false; has_heard[AT (r, 1)] = false; has_heard[AT (r, 2)] = false;
  is_empty[AT (r, 0)] = false; is_empty[AT (r, 1)] = false; is_empty[AT (r, 2)] = false
}

inline report ()
{
  i != j ->
    has_heard[AT (i, j)] = true;
    is_empty[AT (i, j)] = (group[j] == 0)
}

inline found_group ()
{
  group[i] == 0 && MAY_FOUND && IS_LOWEST && KNOWS_ALL && OTHERS_EMPTY ->
    groups++;
    assert (groups == 1 || acknowledged == 0);
    group[i] = groups;
    is_voter[i] = true
}

/* A learner that has caught up becomes a voter. */
inline join ()
{
  i != j && group[i] == 0 && group[j] != 0 && is_voter[j] ->
    group[i] = group[j];
    is_voter[i] = true
}

inline acknowledge ()
{
  group[i] != 0 && is_voter[i] && VOTERS (group[i]) >= ENOUGH_VOTERS && acknowledged == 0 ->
    acknowledged = group[i]
}

inline kill_process ()
{
  kills < 2 ->
    kills++;
    forget (i)
}

inline lose_disk ()
{
  losses < SEEDS ->
    losses++;
    group[i] = 0;
    is_voter[i] = false;
    is_first[i] = false; /* its process starts again without the bit of a first start */
    forget (i);
    assert (losses > 1 || acknowledged == 0 || group[0] == acknowledged || group[1] == acknowledged ||
            group[2] == acknowledged)
}

init
{
  atomic { is_first[0] = true; is_first[1] = true; is_first[2] = true }
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j == 0 ->
            if
            :: found_group ()
            :: acknowledge ()
            :: kill_process ()
            :: lose_disk ()
            :: skip
            fi
       :: report ()
       :: join ()
       :: skip
       fi;
       i = 0;
       j = 0
     }
  od
}
