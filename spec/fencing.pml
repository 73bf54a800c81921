/*
 * Commands to an engine that ignores fencing tokens: an older command never takes effect after a
 * newer one.
 *
 * Implemented by dev.ibishub.core.OrderGate and dev.ibishub.agent.OrderController.
 *
 * Bounds: two controllers, with tokens 1 and 2; the first may be paused past its lease, so its
 * command arrives at any time, and both commands may be repeated without limit. The agent restarts
 * without memory up to twice, at any time. A command sent to the engine takes effect at any later
 * time, and one command at most is lost; its response may be lost before or after the effect. The
 * settling time is modelled as follows: the agent waits until no command that it or a predecessor
 * sent can still take effect. A token is on the log before it is used; the log may be unreachable
 * for any time.
 *
 * Safety: the assertion in Engine.
 *
 * mutation: NO_TOKEN_CHECK the agent obeys any token, as the engine does
 * mutation: NO_RELEARN a restarted agent accepts commands before it knows the highest token
 * mutation: NO_SETTLE the agent sends a command while an earlier one may still take effect
 */
#define RESTARTS 2

byte highestIssued = 1;
bool requested[3];
bool inFlight[3];
byte inEffect;
byte lossesLeft = 1;
byte highest;
bool relearned;
byte awaited; /* token of the command whose response is awaited, or 0 */
byte restartsLeft = RESTARTS;

#ifdef NO_TOKEN_CHECK
#define TOKEN_OK(token) true
#else
#define TOKEN_OK(token) (token >= highest)
#endif
#ifdef NO_SETTLE
#define SETTLED true
#else
#define SETTLED (!inFlight[1] && !inFlight[2])
#endif
#ifdef NO_RELEARN
#define RELEARNED true
#else
#define RELEARNED relearned
#endif
#define SEND(token) atomic { RELEARNED && awaited == 0 && requested[token] && TOKEN_OK(token) && \
    SETTLED && inEffect != token && !inFlight[token] -> \
    highest = (token > highest -> token : highest); inFlight[token] = true; awaited = token }

proctype Agent() {
end:
  do
  :: atomic { !relearned ->
       highest = (highestIssued > highest -> highestIssued : highest);
       relearned = true }
  :: SEND(1)
  :: SEND(2)
  :: atomic { awaited != 0 && !inFlight[awaited] -> awaited = 0 }
  /* The response is lost; the command may still take effect. */
  :: atomic { awaited != 0 && inFlight[awaited] -> awaited = 0 }
  :: atomic { restartsLeft > 0 ->
       restartsLeft--; relearned = false; highest = 0; awaited = 0 }
  od
}

proctype Engine(byte token) {
end:
  do
  :: atomic { inFlight[token] -> inFlight[token] = false; assert(token >= inEffect); inEffect = token }
  :: atomic { inFlight[token] && lossesLeft > 0 -> lossesLeft--; inFlight[token] = false }
  od
}

proctype FirstController() {
  requested[1] = true
}

proctype SecondController() {
  highestIssued = 2;
  requested[2] = true
}

init {
  atomic {
    run Agent(); run Engine(1); run Engine(2); run FirstController(); run SecondController()
  }
}

/* Under weak fairness the newer command takes effect, whatever happens to the older one. */
ltl progress { <> (inEffect == 2) }
