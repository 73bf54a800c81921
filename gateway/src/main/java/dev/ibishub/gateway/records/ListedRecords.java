package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.LogPosition;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * The list of a log's newest records, joined from its pages.
 *
 * <p>Pages are made at different times, so together they are no snapshot: what changes in a range
 * that was already listed is in none of them. The list therefore counts as of its lowest end. What
 * changed from there on has to be read in order, which repeats some records of the list.
 */
final class ListedRecords {
  /** Pages after which a list counts as endless. */
  static final int MAXIMUM_PAGES = 1_000;

  private final String topic;
  private final List<RecordPage> pages = new ArrayList<>();

  private ListedRecords(String topic) {
    this.topic = topic;
  }

  /**
   * Reads all pages, one after the other.
   *
   * @return the whole list; completes exceptionally with an {@link IOException} if the log came
   *     back from an older copy between two pages, or if the list doesn't end
   */
  static CompletableFuture<ListedRecords> read(KeyedLog log, String topic) {
    return new ListedRecords(topic).readAfter(log, "");
  }

  private CompletableFuture<ListedRecords> readAfter(KeyedLog log, String key) {
    return log.newestPage(topic, key)
        .thenCompose(
            page -> {
              try {
                return add(page, key) ? readAfter(log, last(page)) : whole();
              } catch (IOException e) {
                return CompletableFuture.failedFuture(e);
              }
            });
  }

  private CompletableFuture<ListedRecords> whole() {
    return CompletableFuture.completedFuture(this);
  }

  /**
   * Adds the next page.
   *
   * @param after the key after which it was asked for
   * @return whether another page follows
   */
  private boolean add(RecordPage page, String after) throws IOException {
    if (!pages.isEmpty() && page.end().epoch() != pages.get(0).end().epoch()) {
      throw new IOException(
          "the log of " + topic + " came back from an older copy between two pages of its list");
    }
    pages.add(page);
    if (page.hasMore() && pages.size() >= MAXIMUM_PAGES) {
      throw new IOException(
          "the list of " + topic + " goes on after " + MAXIMUM_PAGES + " pages, at " + last(page));
    }
    if (page.hasMore() && page.lastKey().filter(key -> !key.equals(after)).isEmpty()) {
      throw new IOException(
          "the list of " + topic + " goes on, but its page after '" + after + "' has no next key");
    }
    return page.hasMore();
  }

  private static String last(RecordPage page) {
    return page.lastKey().orElse("");
  }

  /**
   * Returns the list as a snapshot that ends where the log did for the page with the lowest end.
   */
  RecordBatch snapshot() {
    return new RecordBatch(
        0,
        ends().min(Comparator.naturalOrder()).orElseThrow(),
        true,
        pages.stream().flatMap(page -> page.records().stream()).toList());
  }

  /** Whether the log grew while it was listed, so that the snapshot may lack some of it. */
  boolean isTorn() {
    return latestEnd().isAfter(snapshot().end());
  }

  /** Returns the highest end of the pages. */
  LogPosition latestEnd() {
    return ends().max(Comparator.naturalOrder()).orElseThrow();
  }

  /** Returns the number of pages. */
  int pages() {
    return pages.size();
  }

  private Stream<LogPosition> ends() {
    return pages.stream().map(RecordPage::end);
  }
}
