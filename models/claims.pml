/*
 * Submissions by compare-and-set and claims of non-idempotent requests, on top
 * of a committed log, which agreement.pml shows to be one sequence.
 *
 * Two operators submit different texts under the same number, lose answers and
 * submit again. Two entries get the same idempotency key; each may die, and
 * messages may be lost, repeated and late. Properties: an operator who is told
 * "accepted" holds the number; at most one dispatch a claim; and, under
 * fairness, every submission is answered.
 */

#define FREE 0
#define IN_FLIGHT 1
#define DONE 2
#define UNKNOWN 3
#define NOT_RUN 4

/* Replicated state. */
byte holder_of_number;     /* operator whose text has the number, 0 for none */
byte claim_status;
byte claim_owner;          /* request, 0 for none */

/* Operators 1 and 2. */
byte accepted[3];
byte answered[3];
byte losses;

/* Entries 1 and 2, one request each with the same key. */
byte dispatches;
byte state[3];             /* 0 new, 1 claiming, 2 may dispatch, 3 dispatched, 4 ended, 5 dead */
byte claims_on_way[3];
byte ends_on_way[3];       /* status on its way, 0 for none */
byte repeats;

#ifdef MUTANT_DISPATCH_FIRST
#define STATE_AFTER_CLAIM 2
#else
#define STATE_AFTER_CLAIM 1
#endif
#ifdef MUTANT_UNKNOWN_TO_NOT_RUN
#define MAY_END (claim_status == IN_FLIGHT || claim_status == UNKNOWN)
#else
#define MAY_END (claim_status == IN_FLIGHT || (claim_status == UNKNOWN && ends_on_way[me] == DONE))
#endif

active [2] proctype operator ()
{
  byte me = _pid + 1;
  do
  :: answered[me] -> break
  :: !answered[me] ->
       atomic {
         /* wl_control.c on_submit, wl_state.c apply_config */
         if
         :: holder_of_number == 0 -> holder_of_number = me
         :: else
         fi;
         if
         :: losses < 2 -> losses++ /* the answer is lost; the operator submits again */
         :: true ->
              answered[me] = 1;
#ifdef MUTANT_NO_DIGEST
              accepted[me] = (holder_of_number != 0 -> 1 : 0);
#else
              accepted[me] = (holder_of_number == me -> 1 : 0);
#endif
              assert (!accepted[me] || holder_of_number == me)
         fi
       }
  od
}

active [2] proctype entry ()
{
  byte me = _pid - 1; /* 1 and 2 */
  do
  /* wl_entry.c send_claim, also repeated */
  :: atomic { (state[me] == 0 || state[me] == 1) && claims_on_way[me] < 2 ->
       state[me] = STATE_AFTER_CLAIM;
       claims_on_way[me]++ }
  /* wl_claims.c wl_claims_put and wl_entry.c on_claim_reply */
  :: atomic { claims_on_way[me] > 0 ->
       claims_on_way[me]--;
       if
       :: claim_status == FREE || claim_status == NOT_RUN ->
            claim_status = IN_FLIGHT;
            claim_owner = me
       :: else
       fi;
       if
       :: claim_owner == me && claim_status == IN_FLIGHT && state[me] == 1 -> state[me] = 2
       /* granted after the request had ended: release, unless its end is on its way */
       :: claim_owner == me && claim_status == IN_FLIGHT && state[me] == 4 &&
          ends_on_way[me] == 0 -> ends_on_way[me] = NOT_RUN
       :: claim_owner != me && state[me] == 1 -> state[me] = 4
       :: else
       fi }
  /* the answer is lost */
  :: atomic { claims_on_way[me] > 0 -> claims_on_way[me]--;
       if
       :: claim_status == FREE || claim_status == NOT_RUN ->
            claim_status = IN_FLIGHT; claim_owner = me
       :: else
       fi }
  /* wl_entry.c dispatch, once */
  :: atomic { state[me] == 2 -> state[me] = 3; dispatches++; assert (dispatches <= 1) }
  /* the run ends: known, unknown */
  :: atomic { state[me] == 3 -> state[me] = 4; ends_on_way[me] = DONE }
  :: atomic { state[me] == 3 -> state[me] = 4; ends_on_way[me] = UNKNOWN }
  /* the time limit before dispatch */
  :: atomic { state[me] == 1 || state[me] == 2 -> state[me] = 4; ends_on_way[me] = NOT_RUN }
  /* wl_claims.c wl_claims_end, also repeated late */
  :: atomic { ends_on_way[me] != 0 ->
       if
       :: claim_owner == me &&
          MAY_END ->
            claim_status = ends_on_way[me]
       :: else
       fi;
       if
       :: repeats < 1 -> repeats++
       :: true -> ends_on_way[me] = 0
       fi }
#ifdef MUTANT_UNKNOWN_TO_NOT_RUN
  /* an entry that releases although its request was dispatched */
  :: atomic { state[me] == 4 && ends_on_way[me] == 0 && claim_owner == me &&
       claim_status == UNKNOWN -> ends_on_way[me] = NOT_RUN }
#endif
  /* the entry dies */
  :: atomic { state[me] < 4 -> state[me] = 5; ends_on_way[me] = 0 }
  od
}

ltl answered_at_last { <> (answered[1] && answered[2]) }
