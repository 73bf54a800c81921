/*
 * One call that may run once only, sent by its caller under one idempotency key to two entries.
 *
 * Entry 0 makes up to two attempts, at agent 0 and then at agent 1; entry 1 makes one, at agent 0.
 * Dispatches, revocations and replies are late, overtake each other and come twice; links are lost;
 * agent 0 may die once and come back without memory under a new incarnation; any process may pause
 * anywhere, which is an interleaving here; the log may refuse an append, take it late, or lose its
 * answer. The replies that leave an entry at "outcome unknown" or "done" are left out: they allow it
 * nothing that a lost link does not.
 *
 * Time has three phases: 0 before the deadline by every clock, 1 within the clock skew around it,
 * where each process may see either, 2 when every clock has passed the deadline and agents may
 * forget attempts.
 *
 * Safety: the call is executed at most once; an entry that answers "not run" is right for good.
 * Progress: every submission is answered.
 *
 * Implemented by dev.ibishub.core.AttemptTable (attempts of an agent), ClaimLedger and
 * dev.ibishub.agent.ClaimWriter (claims) and RequestTracker (what an entry may say).
 *
 * mutation: NO_TOMBSTONE a revocation of an attempt never seen leaves no trace
 * mutation: NO_READ_BACK an agent takes the answer of its append for the win
 * mutation: LOST_LINK_IS_NOT_RUN an entry says "not run" of a dispatch whose link was lost
 * mutation: ANY_INCARNATION an entry believes a restarted agent's word on an attempt before it
 * mutation: BELIEVED_TOO_LATE an entry believes a revocation after the deadline
 * mutation: FORGOTTEN_TOO_EARLY an agent forgets attempts before every clock passed the deadline
 * mutation: CLAIM_OF_THE_NAME a restarted agent takes its earlier run's claim for its own
 * mutation: LATE_CLAIM_STARTS an attempt refused in an outage starts when its claim turns up
 * mutation: LATE_DISPATCH_REFUSED an agent says "not run" of a copy that comes after it forgot
 */
#define ATTEMPTS 3
#define AGENT_OF(i) ((i) == 1)
#define ENTRY_OF(i) ((i) == 2)
#define MAY_COME_TWICE(i) ((i) == 0)
#define MAY_BE_REVOKED(i) ((i) == 0)
#define RUN(a) (2 * (a) + incarnation[a] + 1)

/* What an agent knows of an attempt. */
#define UNSEEN 0
#define CLAIMING 1
#define WON 2
#define STARTED 3       /* and perhaps over */
#define REVOKED 4

/* What an entry knows of an attempt. */
#define NONE 0
#define OPEN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* Replies of an agent; SILENT is none. */
#define SILENT 0
#define SAYS_REVOKED 1
#define SAYS_NOT_RUN 2

byte phase;
bit incarnation[2];
byte table[ATTEMPTS];
bit taken[2];           /* the call is running or over at this agent, by its own memory */
byte known[ATTEMPTS];

bit dispatch[ATTEMPTS];
bit dispatchedTo[ATTEMPTS];
bit revocation[ATTEMPTS];
bit revokedAt[ATTEMPTS];
bit asked[ATTEMPTS];
byte reply[ATTEMPTS];
bit replyFrom[ATTEMPTS];

byte winner;            /* the first claim on the log: RUN of an agent, or 0 */
bit sent[5];            /* claims on their way to the log, by RUN */
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
  :: else -> skip /* nobody listens any more */
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
#define OWN(a) (winner != 0 && (winner - 1) / 2 == (a))
#else
#define OWN(a) (winner == RUN(a))
#endif

#ifdef NO_READ_BACK
#define IS_WON(a) (acknowledged[RUN(a)] || OWN(a))
#else
#define IS_WON(a) OWN(a)
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

/* The gate of one target, for one attempt at a time. */
inline step(a, i) {
  if
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase < 2 ->
       table[i] = CLAIMING;
       sent[RUN(a)] = 1;
       if :: dispatch[i] = 0 :: MAY_COME_TWICE(i) fi }
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase == 1 ->
       dispatch[i] = 0; answer(i, SAYS_NOT_RUN) }
  :: atomic { dispatch[i] && dispatchedTo[i] == incarnation[a] && table[i] == UNSEEN && phase == 2 ->
       dispatch[i] = 0; if :: LATE_DISPATCH_IS_NOT_RUN -> answer(i, SAYS_NOT_RUN) :: else fi }
  :: atomic { dispatch[i] && (dispatchedTo[i] != incarnation[a] || table[i] != UNSEEN) ->
       dispatch[i] = 0 }
  :: atomic { MAY_WIN(i) && IS_WON(a) && !taken[a] -> taken[a] = 1; table[i] = WON }
  :: atomic { table[i] == CLAIMING && (taken[a] || (winner != 0 && !OWN(a))) ->
       table[i] = REVOKED }
  :: atomic { table[i] == CLAIMING && !taken[a] -> /* outage, or no patience left */
       table[i] = REVOKED; answer(i, SAYS_NOT_RUN) }
  :: atomic { table[i] == WON && phase < 2 ->
       table[i] = STARTED; execute(i) }
  :: atomic { table[i] == WON && phase > 0 ->
       table[i] = REVOKED; taken[a] = 0; answer(i, SAYS_NOT_RUN) }
  :: atomic { revocation[i] && revokedAt[i] != incarnation[a] ->
       revocation[i] = 0; revokedAt[i] = 0 }
  :: atomic { revocation[i] && revokedAt[i] == incarnation[a] ->
       revocation[i] = 0;
       revokedAt[i] = 0;
       if
       :: table[i] == STARTED -> skip
       :: table[i] == WON -> table[i] = REVOKED; taken[a] = 0; answer(i, SAYS_REVOKED)
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
       incarnation[0] = 1; table[0] = UNSEEN; table[2] = UNSEEN; taken[0] = 0 }
  od
}

active proctype Agent1() {
end:
  do
  :: step(1, 1)
  od
}

/* The log takes a claim late, or never; the answer may be lost. */
inline take(claim) {
  atomic { sent[claim] ->
    sent[claim] = 0;
    if
    :: winner == 0 -> winner = claim; acknowledge(claim)
    :: winner != 0 -> acknowledge(claim)
    :: skip /* outage */
    fi }
}

active proctype Log() {
end:
  do
  :: take(1)
  :: take(2)
  :: take(3)
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
#define MAY_BE_BELIEVED true
#else
#define MAY_BE_BELIEVED (phase < 2)
#endif

inline listen(i) {
  atomic { reply[i] != SILENT ->
    if
    :: IS_FROM_ADDRESSEE(i) && reply[i] == SAYS_NOT_RUN -> known[i] = NOT_RUN
    :: IS_FROM_ADDRESSEE(i) && reply[i] == SAYS_REVOKED && MAY_BE_BELIEVED -> known[i] = NOT_RUN
    :: !IS_FROM_ADDRESSEE(i) -> skip
    :: reply[i] == SAYS_REVOKED && phase > 0 -> skip
    fi;
    reply[i] = SILENT;
    replyFrom[i] = 0 }
}

inline lose(i) {
#ifdef LOST_LINK_IS_NOT_RUN
  atomic { known[i] == OPEN -> known[i] = NOT_RUN }
#else
  atomic { known[i] == OPEN -> known[i] = UNKNOWN }
#endif
}

inline revoke(i) {
  atomic { MAY_BE_REVOKED(i) && known[i] != NOT_RUN && !asked[i] ->
    asked[i] = 1; revocation[i] = 1; revokedAt[i] = incarnation[AGENT_OF(i)] }
}

inline send(i) {
  atomic { known[i] = OPEN; dispatch[i] = 1; dispatchedTo[i] = incarnation[AGENT_OF(i)] }
}

/* Keeps the number of states down: what no one reads any more is set to one value. */
inline forget(i) {
  known[i] = NONE;
  asked[i] = 0;
  reply[i] = SILENT;
  replyFrom[i] = 0
}

/* Answers for good: "not run" only if that is known of every attempt made. */
inline finish(e, i, j) {
  atomic {
    if
    :: known[i] == NOT_RUN && (known[j] == NOT_RUN || known[j] == NONE) ->
       saidNotRun[e] = 1;
       assert(!ran[e])
    :: else -> skip
    fi;
    answered[e] = 1;
    forget(i);
    forget(j)
  }
}

active proctype Entry0() {
  send(0);
  do
  :: listen(0)
  :: lose(0)
  :: revoke(0)
  :: atomic { (known[0] == NOT_RUN || known[0] == UNKNOWN) && known[1] == NONE -> send(1) }
  :: listen(1)
  :: lose(1)
  :: revoke(1)
  :: finish(0, 0, 1); break
  od
}

active proctype Entry1() {
  send(2);
  do
  :: listen(2)
  :: lose(2)
  :: revoke(2)
  :: finish(1, 2, 2); break
  od
}

ltl every_submission_is_answered { <> (answered[0] && answered[1]) }
