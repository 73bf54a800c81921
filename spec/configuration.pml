/*
 * Acceptance of published configuration on the append-only log.
 *
 * Implemented by ConfigurationReader (core), ConfigurationFollower and ConfigurationPublisher
 * (administration).
 *
 * Bounds: two nodes read the log and send their state to each other; an operator at each node
 * publishes one change; one node appends a snapshot, at any later time. Every read, append and
 * message may be delayed for any time, which also models an outage of the log. An append may or
 * may not take effect, and its response may be lost in both cases. Retention removes records at
 * any time, and one node is replaced by an empty one.
 *
 * Safety: the state of a node is always the accepted state at the node's offset, its revision
 * never decreases, and the verdict given to an operator stays true. Progress: under weak fairness
 * every node reaches the newest accepted revision, unless retention removed records that no node
 * has read yet.
 *
 * mutation: BASE_UNCHECKED a change is accepted whatever revision it is based on
 * mutation: SNAPSHOT_ANYWHERE a snapshot is used at an offset other than the one that it names
 * mutation: JUDGE_AFTER_GAP a reader that missed records still accepts or rejects changes
 * mutation: TRANSFER_BACK a peer's state is adopted although it is older
 * mutation: BLIND_REFUSAL a lost response of the log is reported as a refusal
 * mutation: EARLY_ACCEPT an acknowledged append is reported as accepted before it is read back
 */
#define NODES 2
#define LOG 3 /* two changes and a snapshot */

#define CHANGE 1
#define SNAPSHOT 2

/* The log. Value 0 is the state before the first change; operator k publishes value k + 1. */
byte kind[LOG], base[LOG], value[LOG], snapshotOffset[LOG];
byte length, firstKept;

/* The true outcome, determined by the order of the log alone. */
byte trueRevision;
byte valueOf[NODES + 1];
byte revisionAt[LOG + 1];
bool accepted[NODES];

/* State of the nodes. */
byte revision[NODES], stateValue[NODES], next[NODES], stateOffset[NODES];
bool anchored[NODES] = true;
bool hasState[NODES];
bool toldRefused[NODES]; /* the operator was told that the change was refused */

/* A state transfer in flight to each node. */
bool transferSent[NODES];
byte sentRevision[NODES], sentValue[NODES], sentOffset[NODES];

inline append(aKind, aBase, aValue, anOffset) {
  kind[length] = aKind; base[length] = aBase; value[length] = aValue;
  snapshotOffset[length] = anOffset;
  if
  :: aKind == CHANGE && aBase == trueRevision ->
       trueRevision++; valueOf[trueRevision] = aValue; accepted[aValue - 1] = true;
       assert(!toldRefused[aValue - 1])
  :: else
  fi;
  length++; revisionAt[length] = trueRevision
}

inline check(i) {
  assert(stateValue[i] == valueOf[revision[i]]);
  assert(revision[i] == revisionAt[stateOffset[i]])
}

inline adopt(i, aRevision, aValue, anOffset) {
  assert(aRevision >= revision[i]);
  revision[i] = aRevision; stateValue[i] = aValue; stateOffset[i] = anOffset; hasState[i] = true
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
            revision[i]++; stateValue[i] = value[next[i]]; hasState[i] = true;
            assert(accepted[value[next[i]] - 1]) /* the operator may be told: accepted */
#ifndef BASE_UNCHECKED
       :: else -> assert(!accepted[value[next[i]] - 1]) /* the operator may be told: conflict */
#endif
       fi
  :: kind[next[i]] == SNAPSHOT && !anchored[i] && base[next[i]] >= revision[i] &&
#ifndef SNAPSHOT_ANYWHERE
     snapshotOffset[next[i]] == next[i] &&
#endif
     true -> adopt(i, base[next[i]], value[next[i]], next[i]); anchored[i] = true
  :: else
  fi;
  next[i]++;
  if :: anchored[i] -> stateOffset[i] = next[i] :: else fi;
  check(i)
}

#define may_rejoin(i) (!anchored[i] && hasState[i] && stateOffset[i] >= firstKept)

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
  :: d_step { anchored[i] && !hasState[i] && next[i] >= firstKept && next[i] == length ->
       hasState[i] = true }
  od
}

proctype Sender(byte i) {
end:
  do
  :: d_step { hasState[i] && !transferSent[1 - i] && stateOffset[i] > stateOffset[1 - i] ->
       transferSent[1 - i] = true; sentRevision[1 - i] = revision[i];
       sentValue[1 - i] = stateValue[i]; sentOffset[1 - i] = stateOffset[i] }
  od
}

proctype Receiver(byte i) {
end:
  do
  :: d_step { transferSent[i] ->
       transferSent[i] = false;
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
 * The operator at node i, and the publisher that serves it. The publisher cannot tell a lost
 * response from a slow append: it waits, and takes the verdict from what its node reads.
 */
proctype Operator(byte i) {
  byte basedOn;
end: /* a node without a known state serves no operator */
  d_step { hasState[i] -> basedOn = revision[i] };
#ifdef BLIND_REFUSAL
  toldRefused[i] = true;
#endif
  if
  :: d_step {
       true -> append(CHANGE, basedOn, i + 1, 0);
#ifdef EARLY_ACCEPT
       assert(accepted[i])
#endif
     }
  :: toldRefused[i] = true /* the log states that it did not append */
  :: skip /* the record is lost */
  fi
}

/* Copies its node's state and appends it as a snapshot at any later time. */
proctype SnapshotWriter(byte i) {
  byte aRevision, aValue, anOffset;
end: /* nothing to store */
  d_step { anchored[i] && hasState[i] ->
    aRevision = revision[i]; aValue = stateValue[i]; anOffset = stateOffset[i] };
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

/* Replaces node 0 by an empty one, which also ends the publisher on it. */
proctype Replacement() {
  d_step {
    revision[0] = 0; stateValue[0] = 0; next[0] = 0; stateOffset[0] = 0;
    anchored[0] = true; hasState[0] = false
  }
}

/* Always able to step, so that a run in which all other processes are blocked is infinite too, and
 * the progress property covers it. */
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

#define in_force(i) (hasState[i] && revision[i] == trueRevision)
#define lost (!anchored[0] && !anchored[1])

ltl progress_in_force { <> [] ((in_force(0) && in_force(1)) || lost) }
