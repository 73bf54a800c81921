package dev.ibishub.standins;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/** A streamed answer, assembled from the chunks of one or more connections. Thread-safe. */
final class StreamedAnswer {
  private final StringBuilder text = new StringBuilder();
  private long nextChunk;
  private int restarts;
  private Integer endCode;
  private Problem problem;
  private String breach;

  synchronized long nextChunk() {
    return nextChunk;
  }

  synchronized int restarts() {
    return restarts;
  }

  synchronized String text() {
    return text.toString();
  }

  synchronized Optional<Integer> endCode() {
    return Optional.ofNullable(endCode);
  }

  synchronized Optional<Problem> problem() {
    return Optional.ofNullable(problem);
  }

  /**
   * Returns the violation found in the answer, of a kind that must never happen; empty for none.
   */
  synchronized Optional<String> breach() {
    return Optional.ofNullable(breach);
  }

  synchronized void breach(String detail) {
    breach = detail;
  }

  synchronized void chunk(long number, String chunk) {
    if (endCode != null) {
      breach("chunk " + number + " after the end");
    } else if (number >= 0 && number < nextChunk) {
      breach("duplicate: chunk " + number + " where " + nextChunk + " was due");
    } else if (number > nextChunk) {
      breach("partial: chunk " + number + " where " + nextChunk + " was due");
    } else {
      text.append(chunk);
      nextChunk++;
    }
  }

  synchronized void restart() {
    text.setLength(0);
    nextChunk = 0;
    restarts++;
  }

  synchronized void fail(Problem failure) {
    problem = failure;
  }

  synchronized void clearProblem() {
    problem = null;
  }

  /**
   * Handles the end event of the stream.
   *
   * @param chunks number of chunks that the entry sent
   * @param checksum the entry's CRC-32C of the text of all chunks
   * @param resultCode number of the result code, 0 for a complete answer
   */
  synchronized void end(long chunks, long checksum, int resultCode) {
    if (endCode != null) {
      breach("duplicate: a second end");
      return;
    }
    endCode = resultCode;
    if (resultCode == 0 && chunks != nextChunk) {
      breach("partial: " + nextChunk + " of " + chunks + " chunks");
    } else if (resultCode == 0 && checksum != checksum()) {
      breach("corrupted: the checksum differs");
    }
  }

  private long checksum() {
    CRC32C checksum = new CRC32C();
    checksum.update(text.toString().getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
