/*
 * The switch of a group's expert map: in every step all ranks use the same map.
 *
 * Implemented by dev.ibishub.core.RankGate (agent), dev.ibishub.core.GroupLeader and
 * dev.ibishub.core.internal.experts.MapReconciler (entry). The log is not involved.
 *
 * Bounds: 2 ranks, 2 leaders (epochs 1 and 2, possibly alive at the same time, each may stop at
 * any time), 3 steps, at most 3 rounds of leader 2, one switch by leader 1 from map 1 to map 2 at
 * step 2, which may be abandoned at any time before the commit is decided; one fault: a rank's
 * agent, its engine, or its whole VM restarts. Each command may be lost, delayed, duplicated and
 * reordered. A connection ends with the agent's process, so a command sent to an agent that ended
 * is never handled by its successor; a leader sends it again on the new connection. An engine may
 * answer a call twice: the agent drops what carries the id of another call, which changes nothing.
 *
 * Safety: the assertion in begin_step. Two checks are not needed for it at these bounds: the check
 * of sequences, which prevents a stall (see GroupSwitchTest), and the check that a commit finds
 * its hold in place, which is a second guard.
 *
 * mutation: FORGET_ON_APPLYING a rank stops reporting a committed map once it is in use
 * mutation: FORGET_IN_AGENT the agent does not remember a commit, so it is lost with the engine
 * mutation: NO_EPOCH a rank obeys a leader of an older epoch than the one it promised to obey
 * mutation: NO_INCARNATION a rank that lost its memory obeys commands that rely on it
 * mutation: LATE_HOLD a rank acknowledges a hold for a step that it has begun
 * mutation: ANY_RESPONSE the agent takes the next response on a connection for that to its order
 * mutation: COMMIT_EARLY the leader commits as soon as one rank holds
 */
#define RANKS 2
#define LEADERS 2
#define STEPS 3
#define OLD 1
#define NEW 2
#define HELD 2
#define FAULTS 1
#define ROUNDS 3

/* Kinds of commands, in sequence order; a leader sends each kind at most once to each rank. */
#define PREPARE 0
#define JOIN 1
#define STAGE 2
#define HOLD 3
#define COMMIT 4
#define AGAIN 5
#define RELEASE 6
#define MEND_HOLD 7
#define MEND_STAGE_OLD 8
#define MEND_COMMIT_OLD 9
#define MEND_STAGE 10
#define MEND_COMMIT 11
#define MEND_RELEASE 12
#define KINDS 13

#define AT(l, k, r) ((((l) * KINDS) + (k)) * RANKS + (r))

/* State of the engines. */
byte step[RANKS];
byte inUse[RANKS];
byte staged[RANKS];
byte hold[RANKS];
byte committed[RANKS];
byte committedStep[RANKS];
/* State of the agents. */
byte life[RANKS];
bool member[RANKS];
byte incarnation[RANKS];
byte promised[RANKS];
byte lastSequence[RANKS];
byte memory[RANKS];
/* The map with which each step was begun; 0 if it was not begun. */
byte mapOfStep[STEPS + 1];
byte faults = FAULTS;

/* Commands sent: life of the receiving agent plus 1, 0 if not sent, and incarnation in them. */
byte sentTo[LEADERS * KINDS * RANKS];
byte sentIncarnation[LEADERS];
byte round[LEADERS];

/* Responses to the leaders' commands. */
#define NONE 0
#define DONE 1
#define REFUSED 2
#define NO_MEMORY 3
byte answer[LEADERS * KINDS * RANKS];
/* State of each rank as of its last response to leader 2. */
byte saidVersion[RANKS];
byte saidHold[RANKS];
byte saidIncarnation[RANKS];
bool saidFresh[RANKS];
bool saidInUse[RANKS];

inline begin_step(r) {
  atomic {
    step[r] < STEPS && step[1 - r] >= step[r] &&
      (hold[r] == 0 || step[r] + 1 < hold[r]) &&
      (inUse[r] != 0 || (committed[r] != 0 && step[r] + 1 >= committedStep[r])) ->
    if
    :: committed[r] != 0 && step[r] + 1 >= committedStep[r] ->
       inUse[r] = committed[r]; committed[r] = 0; committedStep[r] = 0
    :: else
    fi;
    step[r]++;
    assert(mapOfStep[step[r]] == 0 || mapOfStep[step[r]] == inUse[r]);
    mapOfStep[step[r]] = inUse[r]
  }
}

inline say(r) {
#ifdef FORGET_ON_APPLYING
  saidVersion[r] = (committed[r] != 0 -> committed[r] : (inUse[r] != 0 -> OLD : 0));
#else
  saidVersion[r] = (inUse[r] > committed[r] -> inUse[r] : committed[r]);
  if
  :: memory[r] > saidVersion[r] -> saidVersion[r] = memory[r]
  :: else
  fi;
#endif
  saidHold[r] = hold[r];
  saidIncarnation[r] = incarnation[r];
  saidFresh[r] = (inUse[r] == 0);
  saidInUse[r] = (inUse[r] == NEW)
}

inline take_commit(r, version, from, result) {
  if
  :: inUse[r] == version || committed[r] == version -> result = DONE
  :: else ->
     if
     :: staged[r] != version -> result = REFUSED
     :: staged[r] == version && inUse[r] != 0 && hold[r] != from -> result = REFUSED
     :: staged[r] == version && (inUse[r] == 0 || hold[r] == from) ->
        if
        :: step[r] >= from -> result = REFUSED
        :: else ->
#ifndef FORGET_IN_AGENT
           memory[r] = (version > memory[r] -> version : memory[r]);
#endif
           committed[r] = version; committedStep[r] = from;
           hold[r] = (hold[r] == from -> 0 : hold[r]);
           result = DONE
        fi
     fi
  fi
}

#ifdef NO_EPOCH
#define EPOCH_OK(l, r) true
#define PROMISED(l, r) true
#else
#define EPOCH_OK(l, r) ((l) + 1 >= promised[r])
#ifdef NO_INCARNATION
#define PROMISED(l, r) (promised[r] == (l) + 1 || promised[r] == 0)
#else
#define PROMISED(l, r) (promised[r] == (l) + 1)
#endif
#endif
#define SEQUENCE_OK(l, k, r) ((l) + 1 != promised[r] || round[l] * KINDS + (k) >= lastSequence[r])
#ifdef NO_INCARNATION
#define MEMBER_OK(l, r) true
#else
#define MEMBER_OK(l, r) (member[r] && incarnation[r] == sentIncarnation[l])
#endif
/* RankGate.admit, then the command to the engine, which ignores epochs and sequences. */
inline handle(l, k, r) {
  d_step {
    result = NONE;
    if
    :: !EPOCH_OK(l, r) || !SEQUENCE_OK(l, k, r) -> result = REFUSED
    :: else ->
       if
       :: k == PREPARE || k == AGAIN ->
          promised[r] = l + 1; lastSequence[r] = round[l] * KINDS + k;
          result = (member[r] -> DONE : NO_MEMORY)
       :: k == JOIN ->
          if
          :: promised[r] != l + 1 -> result = REFUSED
          :: promised[r] == l + 1 && (sentIncarnation[l] > incarnation[r] ||
               (member[r] && sentIncarnation[l] == incarnation[r])) ->
             member[r] = true; incarnation[r] = sentIncarnation[l]; lastSequence[r] = round[l] * KINDS + k;
             result = DONE
          :: else -> result = NO_MEMORY
          fi
       :: else ->
          if
          :: !MEMBER_OK(l, r) -> result = NO_MEMORY
          :: MEMBER_OK(l, r) && !PROMISED(l, r) -> result = REFUSED
          :: else ->
             lastSequence[r] = round[l] * KINDS + k;
             if
             :: k == STAGE || k == MEND_STAGE -> staged[r] = NEW; result = DONE
             :: k == MEND_STAGE_OLD -> staged[r] = OLD; result = DONE
             :: k == HOLD || k == MEND_HOLD ->
                if
#ifndef LATE_HOLD
                :: step[r] >= HELD -> result = REFUSED
#endif
                :: else -> hold[r] = HELD; result = DONE
                fi
             :: k == COMMIT -> take_commit(r, NEW, HELD, result)
             :: k == MEND_COMMIT && hold[r] == 0 && inUse[r] == 0 ->
                take_commit(r, NEW, step[r] + 1, result)
             :: k == MEND_COMMIT && !(hold[r] == 0 && inUse[r] == 0) ->
                take_commit(r, NEW, HELD, result)
             :: k == MEND_COMMIT_OLD -> take_commit(r, OLD, step[r] + 1, result)
             :: k == RELEASE || k == MEND_RELEASE -> hold[r] = 0; result = DONE
             fi
          fi
       fi
    fi;
    /* Every response carries the rank's current state. */
    if
    :: l == 1 -> say(r)
    :: else
    fi;
    if
    :: l + 1 == promised[r] && round[l] * KINDS + k < lastSequence[r] -> skip
    :: else -> answer[AT(l, k, r)] = result
    fi;
    result = NONE
  }
}

inline new_life(r) {
  life[r]++; member[r] = false; incarnation[r] = 0; promised[r] = 0; lastSequence[r] = 0;
  memory[r] = 0
}

inline new_engine(r) {
  inUse[r] = 0; staged[r] = 0; hold[r] = 0; committed[r] = 0; committedStep[r] = 0;
  member[r] = false
}

/* Reduces the states: a duplicate of an answered command is handled only if it would be obeyed and
 * have an effect; a refusal matters only to leader 2, since leader 1 does not react to one. */
#define OBEYS(l, k, r) (EPOCH_OK(l, r) && SEQUENCE_OK(l, k, r) && MEMBER_OK(l, r) && PROMISED(l, r))
#define CAN(l, k, r, effect) (sentTo[AT(l, k, r)] == life[r] + 1 && \
    (answer[AT(l, k, r)] == NONE && (l == 1 || OBEYS(l, k, r)) || effect && OBEYS(l, k, r)))
#define STAGES (staged[r] != NEW)
#define STAGES_OLD (staged[r] != OLD)
#define HOLDS_BACK (hold[r] != HELD && step[r] < HELD)
#define COMMITS (inUse[r] != NEW && committed[r] != NEW && staged[r] == NEW && hold[r] == HELD)
#define COMMITS_OLD (inUse[r] == 0 && committed[r] == 0 && staged[r] == OLD)
#define RELEASES (hold[r] != 0)

proctype Rank(byte r) {
  byte l; byte k; byte result;
end:
  do
  :: begin_step(r)
#ifdef ANY_RESPONSE
  :: d_step {
       sentTo[AT(0, HOLD, r)] == life[r] + 1 && answer[AT(0, HOLD, r)] == NONE ->
       answer[AT(0, HOLD, r)] = DONE
     }
#endif
  /* The ranks are symmetric, so faults at rank 0 suffice. */
  :: d_step { r == 0 && faults > 0 -> faults--; new_life(r) }
  :: d_step { r == 0 && faults > 0 -> faults--; new_engine(r) }
  :: d_step {
       /* The whole VM restarts: a step that only this rank had begun is begun again by all. */
       r == 0 && faults > 0 -> faults--; new_life(r); new_engine(r);
       if
       :: step[r] > step[1 - r] -> mapOfStep[step[r]] = 0; step[r] = step[1 - r]
       :: else
       fi
     }
  :: atomic {
       if
       :: CAN(0, STAGE, r, STAGES) -> l = 0; k = STAGE
       :: CAN(0, HOLD, r, HOLDS_BACK) -> l = 0; k = HOLD
       :: CAN(0, COMMIT, r, COMMITS) -> l = 0; k = COMMIT
       :: CAN(0, AGAIN, r, false) -> l = 0; k = AGAIN
       :: CAN(0, RELEASE, r, RELEASES) -> l = 0; k = RELEASE
       :: CAN(1, PREPARE, r, false) -> l = 1; k = PREPARE
       :: CAN(1, JOIN, r, false) -> l = 1; k = JOIN
       :: CAN(1, MEND_HOLD, r, HOLDS_BACK) -> l = 1; k = MEND_HOLD
       :: CAN(1, MEND_STAGE_OLD, r, STAGES_OLD) -> l = 1; k = MEND_STAGE_OLD
       :: CAN(1, MEND_COMMIT_OLD, r, COMMITS_OLD) -> l = 1; k = MEND_COMMIT_OLD
       :: CAN(1, MEND_STAGE, r, STAGES) -> l = 1; k = MEND_STAGE
       :: CAN(1, MEND_COMMIT, r, COMMITS) -> l = 1; k = MEND_COMMIT
       :: CAN(1, MEND_RELEASE, r, RELEASES) -> l = 1; k = MEND_RELEASE
       fi;
       handle(l, k, r);
       l = 0; k = 0
     }
  od
}

/* Sends a command, or resends it to an agent that restarted. */
inline send(l, kind, r) {
  d_step {
    sentTo[AT(l, kind, r)] = life[r] + 1
  }
}

/* Neither answered yet nor sent to the current life of the agent. */
#define UNSENT(l, kind, r) (sentTo[AT(l, kind, r)] != life[r] + 1 && answer[AT(l, kind, r)] == NONE)
#define BOTH(l, kind, what) (answer[AT(l, kind, 0)] == what && answer[AT(l, kind, 1)] == what)
#define ANY(l, kind, what) (answer[AT(l, kind, 0)] == what || answer[AT(l, kind, 1)] == what)
#define ANSWERED(l, kind, r) (answer[AT(l, kind, r)] != NONE)

/* Leader 1 switches a healthy group. It may stop at any time: no other process waits for its next
 * step. */
proctype First() {
end_staging:
  do
  :: UNSENT(0, STAGE, 0) -> send(0, STAGE, 0)
  :: UNSENT(0, STAGE, 1) -> send(0, STAGE, 1)
  :: BOTH(0, STAGE, DONE) -> break
  od;
end_holding:
  do
  :: UNSENT(0, HOLD, 0) -> send(0, HOLD, 0)
  :: UNSENT(0, HOLD, 1) -> send(0, HOLD, 1)
#ifdef COMMIT_EARLY
  :: ANY(0, HOLD, DONE) -> goto commit
#else
  :: BOTH(0, HOLD, DONE) -> goto commit
#endif
  :: true -> break
  od;
end_again:
  do
  :: UNSENT(0, AGAIN, 0) -> send(0, AGAIN, 0)
  :: UNSENT(0, AGAIN, 1) -> send(0, AGAIN, 1)
  :: BOTH(0, AGAIN, DONE) -> break
  od;
end_released:
  do
  :: UNSENT(0, RELEASE, 0) -> send(0, RELEASE, 0)
  :: UNSENT(0, RELEASE, 1) -> send(0, RELEASE, 1)
  od;
commit:
end_committed:
  do
  :: UNSENT(0, COMMIT, 0) -> send(0, COMMIT, 0)
  :: UNSENT(0, COMMIT, 1) -> send(0, COMMIT, 1)
  od;
}

#define FRESH(r) (saidFresh[r])
#define NEEDS(kind, r) (answer[AT(1, kind, r)] == NONE)
#define IN_USE(r) (saidInUse[r])
#define HOLDS(r) (saidHold[r] != 0)
#define BYTES_KNOWN (IN_USE(0) || IN_USE(1))
#define LOST(r) (!member[r] || promised[r] != 2)
#define STALE(r) (FRESH(r) != (inUse[r] == 0) || IN_USE(r) != (inUse[r] == NEW) || HOLDS(r) != (hold[r] != 0))

/* MapReconciler.next. An engine without a map first gets the old one if the commit is for a later
 * step; then it is switched like the others. */
#define BRING_IN(r) (version == NEW && FRESH(r) && !BYTES_KNOWN && !FRESH(1 - r) && step[r] + 1 < HELD)
#define BRING_OVER(r) (version == NEW && !BRING_IN(r) && !IN_USE(r))
#define GET_OLD(r) (version != NEW && FRESH(r) || BRING_IN(r) && DONE_AT(MEND_HOLD, r))
#define DONE_AT(kind, r) (answer[AT(1, kind, r)] == DONE)
#define WANT_HOLD(r) BRING_IN(r)
#define WANT_STAGE_OLD(r) GET_OLD(r)
#define WANT_COMMIT_OLD(r) (GET_OLD(r) && DONE_AT(MEND_STAGE_OLD, r))
#define WANT_STAGE(r) (BRING_OVER(r) && staged[r] != NEW && BYTES_KNOWN)
#define WANT_COMMIT(r) (BRING_OVER(r) && staged[r] == NEW)
#define WANT_RELEASE(r) (HOLDS(r) && !FRESH(r) && (version != NEW || IN_USE(r)))
#define TELL(want, kind, r) atomic { want(r) && UNSENT(1, kind, r) -> send(1, kind, r) }
#define MEND_REFUSED(r) (answer[AT(1, MEND_HOLD, r)] > DONE || answer[AT(1, MEND_STAGE, r)] > DONE \
    || answer[AT(1, MEND_COMMIT, r)] > DONE || answer[AT(1, MEND_COMMIT_OLD, r)] > DONE \
    || answer[AT(1, MEND_RELEASE, r)] > DONE || answer[AT(1, MEND_STAGE_OLD, r)] > DONE)

inline start_round() {
  d_step {
    round[1]++;
    i = 0;
    do
    :: i < KINDS * RANKS ->
       answer[KINDS * RANKS + i] = NONE; sentTo[KINDS * RANKS + i] = 0;
       i++
    :: else -> break
    od;
    i = 0
  }
}

/* Leader 2 takes over at any time, possibly while leader 1 is still active, and does not stop. */
proctype Second() {
  byte version; byte i;
prepare:
  do
  :: UNSENT(1, PREPARE, 0) -> send(1, PREPARE, 0)
  :: UNSENT(1, PREPARE, 1) -> send(1, PREPARE, 1)
  :: ANSWERED(1, PREPARE, 0) && ANSWERED(1, PREPARE, 1) -> break
  od;
  if
  :: ANY(1, PREPARE, NO_MEMORY) ->
     sentIncarnation[1] = (saidIncarnation[0] > saidIncarnation[1] ->
         saidIncarnation[0] : saidIncarnation[1]) + 1;
     do
     :: UNSENT(1, JOIN, 0) -> send(1, JOIN, 0)
     :: UNSENT(1, JOIN, 1) -> send(1, JOIN, 1)
     :: BOTH(1, JOIN, DONE) -> break
     :: ANY(1, JOIN, REFUSED) || ANY(1, JOIN, NO_MEMORY) ->
        start_round(); goto prepare
     od
  :: else -> sentIncarnation[1] = saidIncarnation[0]
  fi;
  atomic {
    version = (saidVersion[0] > saidVersion[1] ->
        saidVersion[0] : saidVersion[1]);
    if
    :: FRESH(0) && FRESH(1) ->
       /* No engine has a map: any step begun ended with the engines, so any map may be chosen. */
       version = OLD;
       memory[0] = 0; memory[1] = 0;
       if
       :: step[0] > step[1] -> mapOfStep[step[0]] = 0; step[0] = step[1]
       :: step[1] > step[0] -> mapOfStep[step[1]] = 0; step[1] = step[0]
       :: else
       fi
    :: else
    fi
  }
end:
  do
  :: (LOST(0) || LOST(1) || MEND_REFUSED(0) || MEND_REFUSED(1)) && round[1] < ROUNDS ->
     start_round(); goto prepare
  /* Sends PREPARE again; it is answered at once. */
  :: d_step { !LOST(0) && STALE(0) -> say(0) }
  :: d_step { !LOST(1) && STALE(1) -> say(1) }
  :: TELL(WANT_HOLD, MEND_HOLD, 0)
  :: TELL(WANT_HOLD, MEND_HOLD, 1)
  :: TELL(WANT_STAGE_OLD, MEND_STAGE_OLD, 0)
  :: TELL(WANT_STAGE_OLD, MEND_STAGE_OLD, 1)
  :: TELL(WANT_COMMIT_OLD, MEND_COMMIT_OLD, 0)
  :: TELL(WANT_COMMIT_OLD, MEND_COMMIT_OLD, 1)
  :: TELL(WANT_STAGE, MEND_STAGE, 0)
  :: TELL(WANT_STAGE, MEND_STAGE, 1)
  :: TELL(WANT_COMMIT, MEND_COMMIT, 0)
  :: TELL(WANT_COMMIT, MEND_COMMIT, 1)
  :: TELL(WANT_RELEASE, MEND_RELEASE, 0)
  :: TELL(WANT_RELEASE, MEND_RELEASE, 1)
  od
}

init {
  d_step {
    inUse[0] = OLD; inUse[1] = OLD;
    member[0] = true; member[1] = true;
    incarnation[0] = 1; incarnation[1] = 1; sentIncarnation[0] = 1;
    promised[0] = 1; promised[1] = 1
  };
  atomic { run Rank(0); run Rank(1); run First(); run Second() }
}

/* Under weak fairness the group makes progress wherever leader 1 stopped. */
ltl progress { <> (step[0] == STEPS && step[1] == STEPS) }
