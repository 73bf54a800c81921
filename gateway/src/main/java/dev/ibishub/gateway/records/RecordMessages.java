package dev.ibishub.gateway.records;

import com.google.protobuf.ByteString;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LogEpoch;
import dev.ibishub.wire.generated.Record;
import dev.ibishub.wire.generated.RecordProgress;
import dev.ibishub.wire.generated.RecordRevision;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Conversion between batches of records and the messages that carry them between entries. */
public final class RecordMessages {
  /**
   * Size above which messages are compressed, bytes. A configuration of a thousand routes has 300
   * KB, and the entry that read it sends it to all others over a link of a few MB per second.
   */
  private static final int COMPRESSION_THRESHOLD_BYTES = 1_024;

  /**
   * Maximum size of a message after decompression, bytes. It is larger than any response of the
   * store and keeps a peer from exhausting this process's memory.
   */
  private static final int MAXIMUM_INFLATED_BYTES = 16 << 20;

  private RecordMessages() {}

  /**
   * Returns the message that passes a batch on to other entries, compressed if it is large. It
   * states the current age of the records, so it is not to be kept for long.
   */
  public static Frame frame(String topic, RecordBatch batch) {
    long now = MonotonicClock.millis();
    RecordProgress.Builder progress =
        RecordProgress.newBuilder()
            .setTopic(topic)
            .setFrom(batch.from())
            .setEnd(batch.end().offset())
            .setWhole(batch.isSnapshot());
    if (batch.epoch() != LogPosition.UNSTATED_EPOCH) {
      progress.setEpoch(batch.epoch());
    }
    batch.records().forEach(record -> progress.addRecords(message(record, batch.epoch(), now)));
    return Frame.newBuilder().setRecordProgress(deflatedIfLarge(progress.build())).build();
  }

  private static RecordProgress deflatedIfLarge(RecordProgress progress) {
    if (progress.getSerializedSize() <= COMPRESSION_THRESHOLD_BYTES) {
      return progress;
    }
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteString.Output deflated = ByteString.newOutput();
    try (OutputStream output = new DeflaterOutputStream(deflated, deflater)) {
      progress.writeTo(output);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory does not fail", e);
    } finally {
      deflater.end();
    }
    return RecordProgress.newBuilder().setDeflated(deflated.toByteString()).build();
  }

  /**
   * Returns the uncompressed form of a message, which is the message itself if it isn't compressed.
   *
   * @throws IOException if the content can't be decompressed or parsed
   */
  public static RecordProgress inflated(RecordProgress progress) throws IOException {
    if (progress.getDeflated().isEmpty()) {
      return progress;
    }
    try (InputStream input = new InflaterInputStream(progress.getDeflated().newInput())) {
      byte[] message = input.readNBytes(MAXIMUM_INFLATED_BYTES);
      return RecordProgress.parseFrom(message);
    }
  }

  /** Returns the batch in a message that is {@link #inflated}. */
  public static RecordBatch batch(RecordProgress progress) {
    long now = MonotonicClock.millis();
    LogPosition end = new LogPosition(progress.getEpoch(), progress.getEnd());
    return new RecordBatch(
        progress.getFrom(),
        end,
        progress.getWhole(),
        progress.getRecordsList().stream()
            .map(record -> record(record, end.epoch(), now))
            .toList());
  }

  /** Returns the message that tells of the log's present epoch. */
  public static Frame epochFrame(long epoch) {
    return Frame.newBuilder().setLogEpoch(LogEpoch.newBuilder().setEpoch(epoch)).build();
  }

  private static Record message(KeyedRecord record, long batchEpoch, long now) {
    Record.Builder message =
        Record.newBuilder().setOffset(record.position().offset()).setKey(record.key());
    if (record.position().epoch() != batchEpoch) {
      message.setEpoch(record.position().epoch());
    }
    record
        .deleted()
        .ifPresent(
            revision ->
                message.setDeleted(
                    RecordRevision.newBuilder()
                        .setIncarnation(revision.incarnation())
                        .setCount(revision.count())));
    record.value().ifPresent(value -> message.setValue(ByteString.copyFrom(value)));
    long ageMillis = record.ageMillis(now);
    if (ageMillis > 0) {
      message.setAgeMillis(ageMillis);
    }
    return message.build();
  }

  private static KeyedRecord record(Record message, long batchEpoch, long now) {
    return new KeyedRecord(
        new LogPosition(message.hasEpoch() ? message.getEpoch() : batchEpoch, message.getOffset()),
        message.getKey(),
        message.hasValue() ? Optional.of(message.getValue().toByteArray()) : Optional.empty(),
        message.hasDeleted() ? Optional.of(revision(message.getDeleted())) : Optional.empty(),
        now - Math.max(0, message.getAgeMillis()));
  }

  private static Revision revision(RecordRevision message) {
    return new Revision(message.getIncarnation(), message.getCount());
  }
}
