/*
 * Removal of a silent node from a member's view, as relay/membership/wl_view.h
 * describes it. One node is watched by three relays; a member takes their
 * reports. A relay vouches for the node while the node's statuses reach it, and
 * its reports reach the member, or not: links are cut and mended at any time.
 *
 * Properties: a live node that some relay hears and whose reports arrive is not
 * removed; so no single relay removes it. A node that is dead, or that no relay
 * hears, is removed; one that comes back is known again, under its later start. "At rest" stands for
 * the time within which statuses and reports that may arrive have arrived.
 */

#define RELAYS 3

bool is_up = true;             /* the node */
byte start;                    /* its starts so far, 0 to 2 */
bool hears[RELAYS] = true;     /* link from the node to a relay */
bool reaches[RELAYS] = true;   /* link from a relay to the member */
bool is_relay_up[RELAYS] = true;

bool vouches[RELAYS];          /* what a relay believes */
byte vouched_start[RELAYS];
bool told[RELAYS];              /* what the member holds of its reports */
byte told_start[RELAYS];
bool is_fresh[RELAYS];         /* the member has a recent report of the relay */

bool is_known;                 /* the member sends callers to the node */
byte known_start;
byte highest;
byte changes;                  /* of the surroundings: bounds the search */

byte i;
byte k;

#ifdef MUTANT_ONE_WITNESS
#define IS_VOUCHED (is_fresh[0] && told[0] && told_start[0] == known_start)
#else
#define IS_VOUCHED ((is_fresh[0] && told[0] && told_start[0] == known_start) || \
                    (is_fresh[1] && told[1] && told_start[1] == known_start) || \
                    (is_fresh[2] && told[2] && told_start[2] == known_start))
#endif

#define WAY(r) (is_relay_up[r] && hears[r] && reaches[r])

/* The node's status reaches the relay, or its silence is noticed. */
inline watch (r)
{
  if
  :: is_relay_up[r] && is_up && hears[r] -> vouches[r] = true; vouched_start[r] = start
  :: is_relay_up[r] && !(is_up && hears[r]) -> vouches[r] = false
  :: else -> skip
  fi
}

/* The relay's report reaches the member, or its silence is noticed. */
inline report (r)
{
  if
  :: is_relay_up[r] && reaches[r] ->
#ifndef MUTANT_STALE_SOURCE
     told[r] = vouches[r];
#else
     /* After a gap what was told before is taken for a new one. */
     told[r] = (is_fresh[r] -> vouches[r] : told[r] || vouches[r]);
#endif
     told_start[r] = vouched_start[r];
     is_fresh[r] = true;
     highest = known_start;
#ifdef MUTANT_OLD_START_WINS
     if
     :: told[r] -> known_start = told_start[r]
     :: else -> skip
     fi
#else
     if
     :: told[r] && told_start[r] > known_start -> known_start = told_start[r]
     :: else -> skip
     fi
#endif
     assert (known_start >= highest) /* a report of an older start does not win */
  :: else -> is_fresh[r] = false
  fi
}

/* Everything that can arrive has arrived, each relay once more. */
inline rest ()
{
  atomic {
    i = 0;
    do
    :: i < RELAYS -> watch (i); report (i); i++
    :: else -> break
    od;
    is_known = IS_VOUCHED;
    /* A live node with a way to the member is known, under its present start. */
    assert (!(is_up && (WAY (0) || WAY (1) || WAY (2))) || (is_known && known_start == start));
    /* A dead node, or one without any way, is not. */
    assert (!is_known || (is_up && (WAY (0) || WAY (1) || WAY (2))))
  }
}

active proctype surroundings ()
{
  do
  :: changes < 4 -> atomic {
       changes++;
       if
       :: is_up -> is_up = false
       :: !is_up && start < 2 -> is_up = true; start++
       :: hears[0] = !hears[0]
       :: hears[1] = !hears[1]
       :: reaches[0] = !reaches[0]
       :: reaches[1] = !reaches[1]
       :: reaches[2] = !reaches[2]
       :: is_relay_up[0] -> is_relay_up[0] = false; vouches[0] = false
       :: !is_relay_up[0] -> is_relay_up[0] = true
       :: is_relay_up[2] -> is_relay_up[2] = false; vouches[2] = false
       :: !is_relay_up[2] -> is_relay_up[2] = true
       fi
     }
  :: atomic { k = 0; watch (k) }
  :: atomic { k = 1; watch (k) }
  :: atomic { k = 2; watch (k) }
  :: atomic { k = 0; report (k); is_known = IS_VOUCHED }
  :: atomic { k = 1; report (k); is_known = IS_VOUCHED }
  :: atomic { k = 2; report (k); is_known = IS_VOUCHED }
  :: rest ()
  od
}
