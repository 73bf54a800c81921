package dev.ibishub.core.ranks;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * What experts a group's requests chose at some moment, short enough to be kept outside of the
 * process. Immutable.
 *
 * <p>A group that forms anew begins with experts in turn, which makes passes several times as long
 * as they need be, until its demand has been counted again. What was in demand a few seconds ago
 * still is, so a first map can be made from that at once.
 *
 * @param notedAt when it was noted, milliseconds of the time of day
 * @param tokens tokens by set and expert; only their proportions within a set count
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared or hashed.
public record DemandNote(long notedAt, double[][] tokens) {
  private static final int MOST_SETS = 1 << 10;
  private static final int MOST_EXPERTS = 1 << 12;
  private static final int HIGHEST = 255;

  /** Whether it was noted at most so many milliseconds before or after a time of day. */
  public boolean isWithin(long millis, long timeOfDay) {
    return Math.abs(timeOfDay - notedAt) <= millis;
  }

  /** Whether it fits a group with so many sets and experts. */
  public boolean fits(int sets, int experts) {
    return tokens.length == sets && Arrays.stream(tokens).allMatch(set -> set.length == experts);
  }

  /** Returns it with one byte an expert: its part of the most wanted one of its set. */
  public byte[] toBytes() {
    int experts = tokens.length == 0 ? 0 : tokens[0].length;
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + 2 * Short.BYTES + tokens.length * experts);
    bytes.putLong(notedAt).putShort((short) tokens.length).putShort((short) experts);
    for (double[] set : tokens) {
      double most = Arrays.stream(set).max().orElse(0);
      Arrays.stream(set)
          .forEach(each -> bytes.put((byte) (most > 0 ? Math.round(each / most * HIGHEST) : 0)));
    }
    return bytes.array();
  }

  /** Reads it back; empty when the bytes are no note. */
  public static Optional<DemandNote> parse(byte[] written) {
    try {
      ByteBuffer bytes = ByteBuffer.wrap(written);
      long notedAt = bytes.getLong();
      int sets = bytes.getShort();
      int experts = bytes.getShort();
      if (sets < 0 || sets > MOST_SETS || experts < 0 || experts > MOST_EXPERTS) {
        return Optional.empty();
      }
      double[][] tokens = new double[sets][experts];
      for (double[] set : tokens) {
        Arrays.setAll(set, expert -> Byte.toUnsignedInt(bytes.get()));
      }
      return bytes.hasRemaining() ? Optional.empty() : Optional.of(new DemandNote(notedAt, tokens));
    } catch (BufferUnderflowException e) {
      // The topic is shared with processes of other releases; what they wrote is no note here.
      return Optional.empty();
    }
  }
}
