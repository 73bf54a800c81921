package dev.ibishub.core.serving.admission;

/**
 * What admission needs to know of a request.
 *
 * @param priority its urgency, 0 being the highest
 * @param workspace the workspace it belongs to; empty text for none
 * @param arrivedAt when it arrived, milliseconds
 * @param deadline when its response has to be complete, milliseconds
 * @param objectiveMillis latency objective for its first piece, milliseconds; 0 for none
 * @param patienceMillis time from its arrival after which its caller leaves if no piece has come,
 *     milliseconds
 * @param isReturning whether it was refused before, so that its latency objective is missed already
 * @param tokens its expected size, tokens
 */
public record AdmissionRequest(
    int priority,
    String workspace,
    long arrivedAt,
    long deadline,
    long objectiveMillis,
    long patienceMillis,
    boolean isReturning,
    double tokens) {

  /** Returns by when its first piece is due, milliseconds. */
  public long firstPieceBy() {
    long patience = arrivedAt + patienceMillis;
    boolean hasObjective = objectiveMillis > 0 && !isReturning;
    return Math.min(deadline, hasObjective ? arrivedAt + objectiveMillis : patience);
  }
}
