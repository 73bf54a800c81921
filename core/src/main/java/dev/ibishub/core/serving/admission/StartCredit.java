package dev.ibishub.core.serving.admission;

import dev.ibishub.core.serving.SendRate;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How many requests of a service this entry may start, by class: its part of what all entries may
 * start together. Not thread-safe.
 *
 * <p>Each start is charged to all classes, but each class accrues credit by its own outlook. A
 * class that leaves capacity unused for others thus runs out of credit first, and its requests
 * don't lower the rate at which others may start.
 *
 * <p>Credit accrues at the rate at which running requests end, corrected by the difference between
 * capacity and load over {@link #CORRECTION_MILLIS}. Reports are some hundred milliseconds old, so
 * entries that each started requests while the last report shows free capacity would together start
 * several times as many as fit.
 */
final class StartCredit {
  /**
   * Time within which a difference between load and capacity is made up for, milliseconds; twice
   * the age of reports. With less than that age, the load would oscillate.
   */
  static final double CORRECTION_MILLIS = 600;

  /**
   * Time from a start until the request shows in the target's reports, milliseconds: the transit
   * and the pass in which the target accepts it.
   */
  private static final long ARRIVAL_MILLIS = 15;

  /** Starts older than this are in every report, milliseconds. */
  private static final long MAXIMUM_REPORT_AGE_MILLIS = 1_000;

  /** Most credit that is kept while there is no free capacity: one start, and one in reserve. */
  static final double MAXIMUM = 2;

  /** Most credit that is owed, after starts that needed none. */
  private static final double MAXIMUM_DEBT = 2;

  private static final double INITIAL = 1;

  private final Deque<Long> starts = new ArrayDeque<>();
  private final SendRate startRate = new SendRate();
  private final Map<RequestClass, Account> accounts = new HashMap<>();

  /** Requests that have the same claim to capacity. */
  record RequestClass(int priority, boolean isReturning) {}

  /**
   * Load and capacity as they are presumed to be now.
   *
   * @param requests requests that wait or run at the targets
   * @param capacity requests that they may have
   * @param endsPerSecond requests that end there per second
   * @param entries number of entries that send to them
   */
  record Outlook(double requests, double capacity, double endsPerSecond, int entries) {
    /** Returns how many requests a second this entry may start. */
    double startsPerSecond() {
      double correction = (capacity - requests) * 1_000 / CORRECTION_MILLIS;
      return Math.max(0, endsPerSecond + correction) / entries;
    }

    /**
     * Whether more capacity is free than what requests that end until this entry learns more would
     * be replaced by.
     *
     * @param millis time until then, milliseconds
     */
    boolean isAmple(double millis) {
      return capacity - requests > endsPerSecond * millis / 1_000;
    }

    /** Returns this entry's part of the free capacity. */
    double ownFree() {
      return (capacity - requests) / entries;
    }

    Outlook withReserve(double reserved) {
      return new Outlook(requests, capacity - reserved, endsPerSecond, entries);
    }
  }

  /** The credit of one class. */
  private record Account(double credit, long accruedAt) {
    Account accrued(Outlook outlook, long now) {
      double accrued = credit + outlook.startsPerSecond() * (now - accruedAt) / 1_000;
      double most = Math.max(MAXIMUM, outlook.ownFree());
      return new Account(Math.max(-MAXIMUM_DEBT, Math.min(accrued, most)), now);
    }

    Account charged() {
      return new Account(credit - 1, accruedAt);
    }
  }

  /** Counts a request that this entry starts. */
  void onStart(long now) {
    while (!starts.isEmpty() && starts.peekFirst() < now - MAXIMUM_REPORT_AGE_MILLIS) {
      starts.removeFirst();
    }
    starts.addLast(now);
    startRate.onSent(now);
    accounts.replaceAll((any, account) -> account.charged());
  }

  /**
   * Returns how many requests all entries have probably started that are not in reports of the
   * given time: this entry's own, and as many of each other entry as this one usually starts in
   * that time. An entry starts so few between two reports that their number says nothing of the
   * others.
   */
  double unreportedStarts(long measuredAt, int entries, long now) {
    long since = Math.max(measuredAt - ARRIVAL_MILLIS, now - MAXIMUM_REPORT_AGE_MILLIS);
    long own = starts.stream().filter(at -> at >= since).count();
    return own + startRate.perMilli(now) * Math.max(0, now - since) * (entries - 1);
  }

  /** Accrues the credit of a class until now, by its outlook. */
  void accrue(RequestClass requestClass, Outlook outlook, long now) {
    Account account = accounts.getOrDefault(requestClass, new Account(amount(requestClass), now));
    accounts.put(requestClass, account.accrued(outlook, now));
  }

  /**
   * Returns the credit of a class when it was last accrued, less the starts since; of a class
   * without requests so far, the highest of all.
   */
  double amount(RequestClass requestClass) {
    return Optional.ofNullable(accounts.get(requestClass))
        .map(Account::credit)
        .orElseGet(
            () -> accounts.values().stream().mapToDouble(Account::credit).max().orElse(INITIAL));
  }
}
