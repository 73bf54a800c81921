package dev.ibishub.core.serving.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Requests that wait at an entry for one service, the first to be started first: by urgency, then
 * those that can still be in time, then by their workspace's use at the time they began to wait,
 * then by deadline. Requests that were refused before are late in any case; if they came first,
 * they would make new ones late as well. Bounded. Not thread-safe.
 *
 * @param <T> identifies a request
 */
public final class AdmissionQueue<T> {
  /**
   * A waiting request.
   *
   * @param item identifies it
   * @param request its figures
   * @param usage its workspace's use, see {@link WorkspaceShares#usage}
   * @param since when it began to wait, milliseconds
   * @param predictedMillis predicted wait, milliseconds
   */
  public record Waiting<T>(
      T item, AdmissionRequest request, double usage, long since, long predictedMillis) {
    static final Comparator<Waiting<?>> ORDER =
        Comparator.<Waiting<?>>comparingInt(each -> each.request().priority())
            .thenComparing(each -> each.request().isReturning())
            .thenComparingDouble(Waiting::usage)
            .thenComparingLong(each -> each.request().deadline());
  }

  private final int maximumSize;
  private final List<Waiting<T>> waiting = new ArrayList<>();

  /** Creates an empty queue for at most the given number of requests. */
  public AdmissionQueue(int maximumSize) {
    this.maximumSize = maximumSize;
  }

  /** Returns how many requests would be started before the given one. */
  public int ahead(Waiting<T> one) {
    int position = 0;
    while (position < waiting.size() && Waiting.ORDER.compare(waiting.get(position), one) <= 0) {
      position++;
    }
    return position;
  }

  /**
   * Adds a request.
   *
   * @return the request that has no place any more: empty, the last one in order, or the one given
   */
  public Optional<Waiting<T>> add(Waiting<T> one) {
    waiting.add(ahead(one), one);
    return waiting.size() <= maximumSize
        ? Optional.empty()
        : Optional.of(waiting.remove(waiting.size() - 1));
  }

  /** Removes a request; returns false if it was not waiting. */
  public boolean remove(T item) {
    return waiting.removeIf(each -> each.item().equals(item));
  }

  /** Returns the first request in order. */
  public Optional<Waiting<T>> first() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.get(0));
  }

  /** Returns the requests in order. */
  public List<Waiting<T>> all() {
    return List.copyOf(waiting);
  }

  public int size() {
    return waiting.size();
  }

  public boolean isEmpty() {
    return waiting.isEmpty();
  }
}
