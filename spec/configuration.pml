/*
 * Acceptance of published configuration on the append-only log.
 *
 * Implemented by ConfigurationReader (core), ConfigurationFollower and ConfigurationPublisher
 * (platform). Two nodes read the log and pass their state to each other; an operator at each node
 * publishes one change; a node appends a snapshot, slowly. Every read, append and message may take
 * any time, which is what an outage of the log comes to; an append's answer is lost before or after
 * the append takes effect or instead of it, retention eats records at any time, and one node is
 * replaced by an empty one.
 *
 * Safety: the state of a node is always the accepted one as of the offset that it names, its
 * revision never goes back, and what an operator was told is true forever. Progress: under weak
 * fairness every node comes to the newest accepted revision, unless retention passed what every
 * node knew.
 *
 * mutation: BASE_UNCHECKED a change takes hold whatever revision it is based on
 * mutation: SNAPSHOT_ANYWHERE a snapshot counts at another offset than the one it names
 * mutation: JUDGE_AFTER_GAP a reader that retention overtook goes on judging
 * mutation: TRANSFER_BACK a peer's state is taken though it is older
 * mutation: BLIND_REFUSAL a lost answer of the log is reported as refused
 * mutation: EARLY_ACCEPT an answered append is reported as accepted before it is read back
 */
#define NODES 2
#define LOG 3 /* two changes and a snapshot */

#define CHANGE 1
#define SNAPSHOT 2

/* The log; value 0 is the state before the first change, operator k publishes value k + 1. */
byte kind[LOG], base[LOG], value[LOG], named[LOG];
byte length, firstKept;

/* What is true, told by the order of the log alone. */
byte trueRevision;
byte valueOf[NODES + 1];
byte revisionAt[LOG + 1];
bool tookHold[NODES];

/* The nodes. */
byte revision[NODES], held[NODES], next[NODES], stateOffset[NODES];
bool anchored[NODES] = true;
bool known[NODES];
bool refused[NODES]; /* what its operator was told */

/* A transfer on its way to each node. */
bool sent[NODES];
byte sentRevision[NODES], sentValue[NODES], sentOffset[NODES];

inline append(aKind, aBase, aValue, aNamed) {
  kind[length] = aKind; base[length] = aBase; value[length] = aValue; named[length] = aNamed;
  if
  :: aKind == CHANGE && aBase == trueRevision ->
       trueRevision++; valueOf[trueRevision] = aValue; tookHold[aValue - 1] = true;
       assert(!refused[aValue - 1])
  :: else
  fi;
  length++; revisionAt[length] = trueRevision
}

inline check(i) {
  assert(held[i] == valueOf[revision[i]]);
  assert(revision[i] == revisionAt[stateOffset[i]])
}

inline adopt(i, aRevision, aValue, anOffset) {
  assert(aRevision >= revision[i]);
  revision[i] = aRevision; held[i] = aValue; stateOffset[i] = anOffset; known[i] = true
}

inline apply(i) {
  if
  :: kind[next[i]] == CHANGE && anchored[i] ->
       if
#ifdef BASE_UNCHECKED
       :: true ->
#else
       :: base[next[i]] == revision[i] ->
#endif
            revision[i]++; held[i] = value[next[i]]; known[i] = true;
            assert(tookHold[value[next[i]] - 1]) /* its operator may be told: accepted */
#ifndef BASE_UNCHECKED
       :: else -> assert(!tookHold[value[next[i]] - 1]) /* may be told: conflict */
#endif
       fi
  :: kind[next[i]] == SNAPSHOT && !anchored[i] && base[next[i]] >= revision[i] &&
#ifndef SNAPSHOT_ANYWHERE
     named[next[i]] == next[i] &&
#endif
     true -> adopt(i, base[next[i]], value[next[i]], next[i]); anchored[i] = true
  :: else
  fi;
  next[i]++;
  if :: anchored[i] -> stateOffset[i] = next[i] :: else fi;
  check(i)
}

#define may_rejoin(i) (!anchored[i] && known[i] && stateOffset[i] >= firstKept)

proctype Reader(byte i) {
end:
  do
  :: d_step { may_rejoin(i) ->
       next[i] = stateOffset[i]; anchored[i] = true }
  :: d_step { next[i] < firstKept && !may_rejoin(i) ->
       next[i] = firstKept;
#ifdef JUDGE_AFTER_GAP
       stateOffset[i] = firstKept
#else
       anchored[i] = false
#endif
     }
  :: d_step { next[i] >= firstKept && next[i] < length && !may_rejoin(i) -> apply(i) }
  :: d_step { anchored[i] && !known[i] && next[i] >= firstKept && next[i] == length ->
       known[i] = true }
  od
}

proctype Sender(byte i) {
end:
  do
  :: d_step { known[i] && !sent[1 - i] && stateOffset[i] > stateOffset[1 - i] ->
       sent[1 - i] = true; sentRevision[1 - i] = revision[i];
       sentValue[1 - i] = held[i]; sentOffset[1 - i] = stateOffset[i] }
  od
}

proctype Receiver(byte i) {
end:
  do
  :: d_step { sent[i] ->
       sent[i] = false;
       if
#ifdef TRANSFER_BACK
       :: true ->
#else
       :: sentOffset[i] > stateOffset[i] && sentRevision[i] >= revision[i] ->
#endif
            adopt(i, sentRevision[i], sentValue[i], sentOffset[i]);
            if
            :: anchored[i] && next[i] < stateOffset[i] -> next[i] = stateOffset[i]
            :: else
            fi;
            check(i)
#ifndef TRANSFER_BACK
       :: else
#endif
       fi;
       sentRevision[i] = 0; sentValue[i] = 0; sentOffset[i] = 0 }
  od
}

/*
 * The operator at node i, and the publisher that answers. An answer that is lost and an append that
 * takes long look the same to the publisher: it waits, and what its node reads is the verdict.
 */
proctype Operator(byte i) {
  byte basedOn;
end: /* a node that never knows answers no operator */
  d_step { known[i] -> basedOn = revision[i] };
#ifdef BLIND_REFUSAL
  refused[i] = true;
#endif
  if
  :: d_step {
       true -> append(CHANGE, basedOn, i + 1, 0);
#ifdef EARLY_ACCEPT
       assert(tookHold[i])
#endif
     }
  :: refused[i] = true /* the log says that it surely did not append */
  :: skip /* the record is lost */
  fi
}

/* Takes its node's state, and appends it whenever the log comes to it. */
proctype SnapshotWriter(byte i) {
  byte aRevision, aValue, anOffset;
end: /* nothing to keep */
  d_step { anchored[i] && known[i] ->
    aRevision = revision[i]; aValue = held[i]; anOffset = stateOffset[i] };
  if
  :: d_step { true -> append(SNAPSHOT, aRevision, aValue, anOffset) }
  :: skip
  fi
}

proctype Retention() {
  do
  :: firstKept < length -> firstKept++
  :: break
  od
}

/* Replaces node 0 by an empty one, which also ends the publisher that ran on it. */
proctype Replacement() {
  d_step {
    revision[0] = 0; held[0] = 0; next[0] = 0; stateOffset[0] = 0;
    anchored[0] = true; known[0] = false
  }
}

/* Time goes on when nothing else can, so that a run in which all are stuck is infinite as well. */
proctype Clock() {
end:
  do
  :: true -> skip
  od
}

init {
  atomic {
    run Clock();
    run Reader(0); run Reader(1); run Sender(0); run Sender(1); run Receiver(0); run Receiver(1);
    run Operator(0); run Operator(1); run SnapshotWriter(1);
    run Retention(); run Replacement()
  }
}

#define in_force(i) (known[i] && revision[i] == trueRevision)
#define lost (!anchored[0] && !anchored[1])

ltl progress_in_force { <> [] ((in_force(0) && in_force(1)) || lost) }
