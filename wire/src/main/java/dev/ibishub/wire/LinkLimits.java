package dev.ibishub.wire;

/**
 * What connections to the port for links may take of the process.
 *
 * @param maximumHandshakes the most accepted connections whose handshake is not complete; beyond
 *     it, the oldest is closed
 * @param incompleteFrameBytes the memory for long incomplete frames of all links, bytes
 */
public record LinkLimits(int maximumHandshakes, long incompleteFrameBytes) {
  /** Part of the heap that incomplete frames may take by default. */
  private static final long HEAP_DIVISOR = 4;

  /** Uses a quarter of the heap where no memory is named. */
  public LinkLimits {
    if (maximumHandshakes < 1 || incompleteFrameBytes < 0) {
      throw new IllegalArgumentException("expected positive limits of links");
    }
    if (incompleteFrameBytes == 0) {
      incompleteFrameBytes = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    }
  }

  /** Returns the limits that apply where settings name no others. */
  public static LinkLimits defaults() {
    return new LinkLimits(64, 0);
  }
}
