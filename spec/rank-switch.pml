/*
 * The switch of a group whose engines can arm a map to be used from a given step: no step begins
 * while two ranks have different maps, and no hold remains afterwards.
 *
 * Implemented by dev.ibishub.core.ranks.MapSwitch.
 *
 * Bounds: 2 ranks, 2 leaders (leader 1 began the switch; leader 2 completes or undoes it, at any
 * time, while leader 1 may be running, paused or gone), one map, armed for step 2 of 3. The map
 * may stop being prepared at rank 1 before it is armed there. A command that was sent may be
 * executed at any later time, any number of times and in any order; a response may be lost. A
 * response to an earlier command, or to a report that the agent has read, may arrive a second time
 * where that to a command is expected, also if that command is never executed; it carries the id of
 * its own call. A command with a lower token than the rank has seen is refused.
 *
 * mutation: ARM_WITHOUT_HOLD leader 1 arms although no rank holds the step
 * mutation: RELEASE_EARLY leader 1 releases as soon as one rank has confirmed
 * mutation: NO_FENCE ranks accept commands with lower tokens
 * mutation: NO_OWN_HOLD leader 2 disarms although no rank holds the step under its token
 * mutation: ANY_RESPONSE the agent takes the next response on a connection for that to its command
 * mutation: NEW_TOKEN leader 1 releases with a higher token than that of its successor
 */
#define RANKS 2
#define STEPS 3
#define S 2
#define NONE 0
#define DONE 1
#define REFUSED 2

#define HOLD 0
#define ARM 1
#define DISARM 2
#define RELEASE 3
#define KINDS 4
#define AT(l, k, r) ((((l) * KINDS) + (k)) * RANKS + (r))
#define REPORT (2 * KINDS * RANKS) /* the call with which an agent reads a report */

byte step = 0;
bool armed[RANKS];
bool switched[RANKS]; /* whether the rank used the new map in step S */
bool prepared[RANKS];
bool held[RANKS];
byte fence[RANKS];
bool sent[2 * KINDS * RANKS];
byte answer[2 * KINDS * RANKS];
byte holder = 0;
bool over = false;
bool settled = false;

inline token_of(l, k, t) {
  if
  :: l == 0 && k <= ARM -> t = 1
  :: l == 0 && k == DISARM -> t = 2
#ifdef NEW_TOKEN
  :: l == 0 && k == RELEASE -> t = 20
#else
  :: l == 0 && k == RELEASE -> t = 3
#endif
  :: l == 1 && k <= ARM -> t = 11
  :: l == 1 && k == DISARM -> t = 12
  :: l == 1 && k == RELEASE -> t = 13
  fi
}

/* A response to one call arrives where that to a command is expected. */
inline respond(call, command, content) {
  if
#ifdef ANY_RESPONSE
  :: answer[command] == NONE -> answer[command] = content
#else
  :: answer[command] == NONE && call == command -> answer[command] = content
#endif
  :: true
  fi
}

inline second_response(l, k, r) {
  atomic {
    sent[AT(l, k, r)] ->
    if
    :: respond(REPORT, AT(l, k, r), DONE)
    :: k != HOLD && sent[AT(l, HOLD, r)] ->
       if
       :: respond(AT(l, HOLD, r), AT(l, k, r), DONE)
       :: respond(AT(l, HOLD, r), AT(l, k, r), REFUSED)
       fi
    fi
  }
}

inline carry_out(l, k, r) {
  atomic {
    sent[AT(l, k, r)] ->
    token_of(l, k, t);
    if
#ifndef NO_FENCE
    :: t < fence[r] -> result = REFUSED
#endif
#ifdef NO_FENCE
    :: true ->
#else
    :: t >= fence[r] -> fence[r] = t;
#endif
       if
       :: k == HOLD && (held[r] || step < S) -> held[r] = true; result = DONE
       :: k == HOLD && !held[r] && step >= S -> result = REFUSED
       :: k == ARM && armed[r] -> result = DONE
       :: k == ARM && !armed[r] && prepared[r] && step < S -> armed[r] = true; result = DONE
       :: k == ARM && !armed[r] && (!prepared[r] || step >= S) -> result = REFUSED
       :: k == DISARM -> armed[r] = false; result = DONE
       :: k == RELEASE -> held[r] = false; result = DONE
       fi
    fi;
    respond(AT(l, k, r), AT(l, k, r), result);
    t = 0; result = NONE
  }
}

/* The network: delivers any command that was sent, at any time. */
active proctype network() {
  byte t; byte result;
end:
  do
  :: carry_out(0, HOLD, 0)
  :: carry_out(0, HOLD, 1)
  :: carry_out(0, ARM, 0)
  :: carry_out(0, ARM, 1)
  :: carry_out(0, DISARM, 0)
  :: carry_out(0, DISARM, 1)
  :: carry_out(0, RELEASE, 0)
  :: carry_out(0, RELEASE, 1)
  :: carry_out(1, HOLD, 0)
  :: carry_out(1, HOLD, 1)
  :: carry_out(1, ARM, 0)
  :: carry_out(1, ARM, 1)
  :: carry_out(1, DISARM, 0)
  :: carry_out(1, DISARM, 1)
  :: carry_out(1, RELEASE, 0)
  :: carry_out(1, RELEASE, 1)
  :: second_response(0, HOLD, 0)
  :: second_response(0, HOLD, 1)
  :: second_response(0, ARM, 0)
  :: second_response(0, ARM, 1)
  :: second_response(0, DISARM, 0)
  :: second_response(0, DISARM, 1)
  :: second_response(0, RELEASE, 0)
  :: second_response(0, RELEASE, 1)
  :: second_response(1, HOLD, 0)
  :: second_response(1, HOLD, 1)
  :: second_response(1, ARM, 0)
  :: second_response(1, ARM, 1)
  :: second_response(1, DISARM, 0)
  :: second_response(1, DISARM, 1)
  :: second_response(1, RELEASE, 0)
  :: second_response(1, RELEASE, 1)
  od
}

active proctype group() {
end:
  do
  :: atomic { prepared[1] && !armed[1] -> prepared[1] = false }
  :: atomic {
       step < STEPS && !(step + 1 == S && (held[0] || held[1])) ->
       step++;
       if
       :: step == S ->
          switched[0] = armed[0]; switched[1] = armed[1];
          armed[0] = false; armed[1] = false;
          assert(switched[0] == switched[1])
       :: else
       fi
     }
  od
}

/* Leader 1 may stop for good at any point, since each wait may last forever. */
active proctype first_leader() {
  byte h;
  if
  :: h = 0
  :: h = 1
  fi;
  atomic { holder = h; sent[AT(0, HOLD, h)] = true };
#ifndef ARM_WITHOUT_HOLD
  if
  :: answer[AT(0, HOLD, h)] == DONE
  :: answer[AT(0, HOLD, h)] == REFUSED -> goto end
  fi;
#endif
  atomic { sent[AT(0, ARM, 0)] = true; sent[AT(0, ARM, 1)] = true };
  if
#ifdef RELEASE_EARLY
  :: answer[AT(0, ARM, 0)] == DONE -> goto release
#endif
  :: answer[AT(0, ARM, 0)] == DONE && answer[AT(0, ARM, 1)] == DONE -> goto release
  :: answer[AT(0, ARM, 0)] == REFUSED || answer[AT(0, ARM, 1)] == REFUSED -> skip
  fi;
  atomic { sent[AT(0, DISARM, 0)] = true; sent[AT(0, DISARM, 1)] = true };
  if
  :: answer[AT(0, DISARM, 0)] == DONE && answer[AT(0, DISARM, 1)] == DONE -> goto release
  :: answer[AT(0, DISARM, 0)] == REFUSED || answer[AT(0, DISARM, 1)] == REFUSED -> goto end
  fi;
release:
  sent[AT(0, RELEASE, h)] = true;
end:
  over = true
}

/* Leader 2 reads the ranks one after the other, so the combined view may never have been true. */
active proctype second_leader() {
  bool isArmed[RANKS]; bool isPrepared[RANKS]; bool isHeld[RANKS];
  byte h;
look:
  atomic { isArmed[0] = armed[0]; isPrepared[0] = prepared[0]; isHeld[0] = held[0] };
  atomic { isArmed[1] = armed[1]; isPrepared[1] = prepared[1]; isHeld[1] = held[1] };
  if
  :: isHeld[0] || isHeld[1] || isArmed[0] != isArmed[1] -> skip
  :: else ->
     if
     :: step >= S -> goto end
     :: else -> goto look
     fi
  fi;
  if
  :: isHeld[1] && !isHeld[0] -> h = 1
  :: else -> h = 0
  fi;
#ifndef NO_OWN_HOLD
  sent[AT(1, HOLD, h)] = true;
  if
  :: answer[AT(1, HOLD, h)] == DONE
  :: answer[AT(1, HOLD, h)] == REFUSED -> goto end
  fi;
#endif
  if
  :: (isArmed[0] || isArmed[1]) && (isArmed[0] || isPrepared[0]) && (isArmed[1] || isPrepared[1]) ->
     atomic { sent[AT(1, ARM, 0)] = true; sent[AT(1, ARM, 1)] = true };
     if
     :: answer[AT(1, ARM, 0)] == DONE && answer[AT(1, ARM, 1)] == DONE -> goto release
     :: answer[AT(1, ARM, 0)] == REFUSED || answer[AT(1, ARM, 1)] == REFUSED -> skip
     fi
  :: else
  fi;
  atomic { sent[AT(1, DISARM, 0)] = true; sent[AT(1, DISARM, 1)] = true };
  answer[AT(1, DISARM, 0)] == DONE && answer[AT(1, DISARM, 1)] == DONE;
release:
  atomic { sent[AT(1, RELEASE, 0)] = true; sent[AT(1, RELEASE, 1)] = true };
  answer[AT(1, RELEASE, 0)] == DONE && answer[AT(1, RELEASE, 1)] == DONE;
  /* Leader 1 can no longer hold or arm, and no rank holds. */
  assert(!held[0] && !held[1]);
end:
  settled = true
}

init { atomic { prepared[0] = true; prepared[1] = true } }
