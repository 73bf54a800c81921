/*
 * Orders to an engine that ignores fencing numbers: an older order never takes effect after a newer.
 *
 * Implemented by dev.ibishub.core.OrderGate and dev.ibishub.agent.OrderController.
 *
 * Bounds: two who give orders, with tokens 1 and 2; the first may be paused past its lease, so its
 * order arrives at any moment, and both are repeated at will. The agent starts anew without memory
 * up to twice at any moment. An order given to the engine takes effect at any later moment, or is
 * lost once; its answer may be lost before or after the effect. The settling time stands in the model
 * as: the agent waits until nothing that it or a predecessor gave can take effect any longer.
 * A token stands on the log before it is used; the log may be unreachable for any time.
 *
 * Safety: the assertion in Engine.
 *
 * mutation: NO_TOKEN_CHECK the agent obeys any token, as the engine does
 * mutation: NO_RELEARN an agent that started anew takes orders before it knows the highest token
 * mutation: NO_SETTLE the agent gives an order while an earlier one may yet take effect
 */
#define RESTARTS 2

byte issued = 1;
bool asked[3];
bool given[3];
byte inEffect;
byte losses = 1;
byte highest;
bool relearned;
byte waitsFor;
byte restarts = RESTARTS;

#ifdef NO_TOKEN_CHECK
#define TOKEN_OK(token) true
#else
#define TOKEN_OK(token) (token >= highest)
#endif
#ifdef NO_SETTLE
#define SETTLED true
#else
#define SETTLED (!given[1] && !given[2])
#endif
#ifdef NO_RELEARN
#define RELEARNED true
#else
#define RELEARNED relearned
#endif
#define GIVE(token) atomic { RELEARNED && waitsFor == 0 && asked[token] && TOKEN_OK(token) && \
    SETTLED && inEffect != token && !given[token] -> \
    highest = (token > highest -> token : highest); given[token] = true; waitsFor = token }

proctype Agent() {
end:
  do
  :: atomic { !relearned -> highest = (issued > highest -> issued : highest); relearned = true }
  :: GIVE(1)
  :: GIVE(2)
  :: atomic { waitsFor != 0 && !given[waitsFor] -> waitsFor = 0 }
  /* The answer is lost, whether the order took effect or not. */
  :: atomic { waitsFor != 0 && given[waitsFor] -> waitsFor = 0 }
  :: atomic { restarts > 0 -> restarts--; relearned = false; highest = 0; waitsFor = 0 }
  od
}

proctype Engine(byte token) {
end:
  do
  :: atomic { given[token] -> given[token] = false; assert(token >= inEffect); inEffect = token }
  :: atomic { given[token] && losses > 0 -> losses--; given[token] = false }
  od
}

proctype First() {
  asked[1] = true
}

proctype Second() {
  issued = 2;
  asked[2] = true
}

init {
  atomic { run Agent(); run Engine(1); run Engine(2); run First(); run Second() }
}

/* Under weak fairness the newer order takes effect, whatever became of the older. */
ltl progress { <> (inEffect == 2) }
