package dev.ibishub.gateway.front;

/** A plan of a process that goes on. */
final class NeverStops implements StopPlan {
  @Override
  public boolean isLeaving() {
    return false;
  }

  @Override
  public boolean mayInterrupt(long deadline) {
    return false;
  }
}
