/*
 * One call that may run at most once, sent by its caller to two entries under one idempotency key.
 *
 * Entry 0 makes up to two attempts, at agent 0 and then at agent 1; entry 1 makes one, at agent 0.
 * Dispatches, revocations and replies may be delayed, reordered and duplicated; links may be lost;
 * agent 0 may die once and restart without memory under a new incarnation; any process may pause
 * at any point, which is modelled by interleaving; the log may refuse an append, execute it late,
 * or lose its response. The replies after which an entry knows "outcome unknown" or "done" are
 * left out: they permit the entry nothing that a lost link does not.
 *
 * Time has three phases: 0, the deadline has passed on no clock; 1, within the clock skew around
 * the deadline, it may have passed on some; 2, it has passed on all, and agents may forget
 * attempts.
 *
 * Safety: the call is executed at most once; an answer "not run" of an entry stays true. Progress:
 * every submission is answered.
 *
 * Implemented by dev.ibishub.core.AttemptTable (attempts at an agent), ClaimLedger and
 * dev.ibishub.agent.ClaimWriter (claims) and RequestTracker (what an entry may say).
 *
 * mutation: NO_TOMBSTONE a revocation of an unknown attempt is not remembered
 * mutation: NO_READ_BACK an agent treats the response to its append as winning the claim
 * mutation: LOST_LINK_IS_NOT_RUN an entry treats a dispatch whose link was lost as not run
 * mutation: ANY_INCARNATION an entry accepts a restarted agent's reply on an earlier attempt
 * mutation: BELIEVED_TOO_LATE an entry accepts a revocation reply after the deadline
 * mutation: FORGOTTEN_TOO_EARLY an agent forgets attempts before every clock passed the deadline
 * mutation: CLAIM_OF_THE_NAME a restarted agent treats its previous incarnation's claim as its own
 * mutation: LATE_CLAIM_STARTS an attempt refused in an outage starts once its claim is on the log
 * mutation: LATE_DISPATCH_REFUSED an agent replies "not run" to a duplicate of an attempt it forgot
 */
#define ATTEMPTS 3
#define AGENT_OF(i) ((i) == 1)
#define ENTRY_OF(i) ((i) == 2)
#define MAY_COME_TWICE(i) ((i) == 0)
#define MAY_BE_REVOKED(i) ((i) == 0)
#define RUN(a) (2 * (a) + incarnation[a] + 1)

/* States of an attempt at an agent. */
#define UNSEEN 0
#define CLAIMING 1
#define WON 2
#define STARTED 3       /* and possibly finished */
#define REVOKED 4

/* States of an attempt at an entry. */
#define NONE 0
#define OPEN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* Replies of an agent; SILENT means none. */
#define SILENT 0
#define SAYS_REVOKED 1
#define SAYS_NOT_RUN 2

byte phase;
bit incarnation[2];
byte table[ATTEMPTS];
bit holdsCall[2];       /* by this agent's memory, the call is won, running or finished here */
byte known[ATTEMPTS];

bit dispatch[ATTEMPTS];
bit dispatchedTo[ATTEMPTS];
bit revocation[ATTEMPTS];
bit revokedAt[ATTEMPTS];
bit revocationSent[ATTEMPTS];
byte reply[ATTEMPTS];
bit replyFrom[ATTEMPTS];

byte winner;            /* the first claim on the log: RUN of an agent, or 0 */
bit claimSent[5];       /* claims in flight to the log, by RUN */
#ifdef NO_READ_BACK
bit acknowledged[5];
#define acknowledge(claim) acknowledged[claim] = 1
#else
#define acknowledge(claim) skip
#endif

byte executions;
bit ran[2];
bit saidNotRun[2];
bit answered[2];

inline answer(i, what) {
  if
  :: !answered[ENTRY_OF(i)] -> reply[i] = what; replyFrom[i] = incarnation[AGENT_OF(i)]
  :: else -> skip /* the entry has already answered */
  fi
}

inline execute(i) {
  executions++;
  ran[ENTRY_OF(i)] = 1;
  assert(executions <= 1);
  assert(!saidNotRun[ENTRY_OF(i)])
}

#ifdef FORGOTTEN_TOO_EARLY
#define MAY_FORGET true
#else
#define MAY_FORGET (phase == 2)
#endif

#ifdef CLAIM_OF_THE_NAME
#define IS_OWN_CLAIM(a) (winner != 0 && (winner - 1) / 2 == (a))
#else
#define IS_OWN_CLAIM(a) (winner == RUN(a))
#endif

#ifdef NO_READ_BACK
#define IS_WON(a) (acknowledged[RUN(a)] || IS_OWN_CLAIM(a))
#else
#define IS_WON(a) IS_OWN_CLAIM(a)
#endif

#ifdef LATE_CLAIM_STARTS
#define MAY_WIN(i) (table[i] == CLAIMING || table[i] == REVOKED)
#else
#define MAY_WIN(i) (table[i] == CLAIMING)
#endif

#ifdef LATE_DISPATCH_REFUSED
#define LATE_DISPATCH_IS_NOT_RUN true
#else
#define LATE_DISPATCH_IS_NOT_RUN false
#endif

/* One step of the agent's gate for attempt i at agent a. */
inline step(a, i) {
  if
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase < 2 ->
       table[i] = CLAIMING;
       claimSent[RUN(a)] = 1;
       if :: dispatch[i] = 0 :: MAY_COME_TWICE(i) fi }
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase == 1 ->
       dispatch[i] = 0; answer(i, SAYS_NOT_RUN) }
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase == 2 ->
       dispatch[i] = 0; if :: LATE_DISPATCH_IS_NOT_RUN -> answer(i, SAYS_NOT_RUN) :: else fi }
  :: atomic { dispatch[i] && (dispatchedTo[i] != incarnation[a] || table[i] != UNSEEN) ->
       dispatch[i] = 0 }
  :: atomic { MAY_WIN(i) && IS_WON(a) && !holdsCall[a] -> holdsCall[a] = 1; table[i] = WON }
  :: atomic { table[i] == CLAIMING && (holdsCall[a] || (winner != 0 && !IS_OWN_CLAIM(a))) ->
       table[i] = REVOKED }
  :: atomic { table[i] == CLAIMING && !holdsCall[a] -> /* log outage or claim timeout */
       table[i] = REVOKED; answer(i, SAYS_NOT_RUN) }
  :: atomic { table[i] == WON && phase < 2 ->
       table[i] = STARTED; execute(i) }
  :: atomic { table[i] == WON && phase > 0 ->
       table[i] = REVOKED; holdsCall[a] = 0; answer(i, SAYS_NOT_RUN) }
  :: atomic { revocation[i] && revokedAt[i] != incarnation[a] ->
       revocation[i] = 0; revokedAt[i] = 0 }
  :: atomic { revocation[i] && revokedAt[i] == incarnation[a] ->
       revocation[i] = 0;
       revokedAt[i] = 0;
       if
       :: table[i] == STARTED -> skip
       :: table[i] == WON -> table[i] = REVOKED; holdsCall[a] = 0; answer(i, SAYS_REVOKED)
#ifdef NO_TOMBSTONE
       :: table[i] == UNSEEN -> answer(i, SAYS_REVOKED)
#else
       :: table[i] == UNSEEN -> table[i] = REVOKED; answer(i, SAYS_REVOKED)
#endif
       :: table[i] == CLAIMING || table[i] == REVOKED ->
          table[i] = REVOKED; answer(i, SAYS_REVOKED)
       fi }
  :: atomic { MAY_FORGET && (table[i] == STARTED || table[i] == REVOKED) -> table[i] = UNSEEN }
  fi
}

active proctype Agent0() {
end:
  do
  :: step(0, 0)
  :: step(0, 2)
  :: atomic { incarnation[0] == 0 ->
       incarnation[0] = 1; table[0] = UNSEEN; table[2] = UNSEEN; holdsCall[0] = 0 }
  od
}

active proctype Agent1() {
end:
  do
  :: step(1, 1)
  od
}

/* The log appends a claim at any later time or never; its response may be lost. */
inline append_claim(claim) {
  atomic { claimSent[claim] ->
    claimSent[claim] = 0;
    if
    :: winner == 0 -> winner = claim; acknowledge(claim)
    :: winner != 0 -> acknowledge(claim)
    :: skip /* log outage */
    fi }
}

active proctype Log() {
end:
  do
  :: append_claim(1)
  :: append_claim(2)
  :: append_claim(3)
  od
}

active proctype Clock() {
  phase = 1;
  phase = 2
}

#ifdef ANY_INCARNATION
#define IS_FROM_ADDRESSEE(i) true
#else
#define IS_FROM_ADDRESSEE(i) (replyFrom[i] == dispatchedTo[i])
#endif

#ifdef BELIEVED_TOO_LATE
#define MAY_ACCEPT_REVOCATION true
#else
#define MAY_ACCEPT_REVOCATION (phase < 2)
#endif

inline receive_reply(i) {
  atomic { reply[i] != SILENT ->
    if
    :: IS_FROM_ADDRESSEE(i) && reply[i] == SAYS_NOT_RUN -> known[i] = NOT_RUN
    :: IS_FROM_ADDRESSEE(i) && reply[i] == SAYS_REVOKED && MAY_ACCEPT_REVOCATION ->
       known[i] = NOT_RUN
    :: !IS_FROM_ADDRESSEE(i) -> skip
    :: reply[i] == SAYS_REVOKED && phase > 0 -> skip
    fi;
    reply[i] = SILENT;
    replyFrom[i] = 0 }
}

inline lose_link(i) {
#ifdef LOST_LINK_IS_NOT_RUN
  atomic { known[i] == OPEN -> known[i] = NOT_RUN }
#else
  atomic { known[i] == OPEN -> known[i] = UNKNOWN }
#endif
}

inline revoke(i) {
  atomic { MAY_BE_REVOKED(i) && known[i] != NOT_RUN && !revocationSent[i] ->
    revocationSent[i] = 1; revocation[i] = 1; revokedAt[i] = incarnation[AGENT_OF(i)] }
}

inline send(i) {
  atomic { known[i] = OPEN; dispatch[i] = 1; dispatchedTo[i] = incarnation[AGENT_OF(i)] }
}

/* Reduces the number of states by resetting variables that are no longer read. */
inline reset_attempt(i) {
  known[i] = NONE;
  revocationSent[i] = 0;
  reply[i] = SILENT;
  replyFrom[i] = 0
}

/* Gives the final answer: "not run" only if every attempt made is known not to have run. */
inline finish(e, i, j) {
  atomic {
    if
    :: known[i] == NOT_RUN && (known[j] == NOT_RUN || known[j] == NONE) ->
       saidNotRun[e] = 1;
       assert(!ran[e])
    :: else -> skip
    fi;
    answered[e] = 1;
    reset_attempt(i);
    reset_attempt(j)
  }
}

active proctype Entry0() {
  send(0);
  do
  :: receive_reply(0)
  :: lose_link(0)
  :: revoke(0)
  :: atomic { (known[0] == NOT_RUN || known[0] == UNKNOWN) && known[1] == NONE -> send(1) }
  :: receive_reply(1)
  :: lose_link(1)
  :: revoke(1)
  :: finish(0, 0, 1); break
  od
}

active proctype Entry1() {
  send(2);
  do
  :: receive_reply(2)
  :: lose_link(2)
  :: revoke(2)
  :: finish(1, 2, 2); break
  od
}

ltl every_submission_is_answered { <> (answered[0] && answered[1]) }
