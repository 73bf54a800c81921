package dev.ibishub.gateway.records;

import com.google.protobuf.ByteString;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Record;
import dev.ibishub.wire.generated.RecordProgress;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Batches of records as messages between entries. */
public final class RecordMessages {
  /**
   * Messages of more bytes go deflated. A configuration of a thousand routes has 300 KB, and the
   * entry that read it sends it to all others over a link of a few MB a second.
   */
  private static final int LARGE_BYTES = 1_024;

  /**
   * More than the store hands out at once, so that no peer can make this process fill its memory.
   */
  private static final int MAXIMUM_BYTES = 16 << 20;

  private RecordMessages() {}

  /** Makes the message that tells another entry of a batch. */
  public static Frame frame(String topic, RecordBatch batch) {
    RecordProgress.Builder progress =
        RecordProgress.newBuilder()
            .setTopic(topic)
            .setFrom(batch.from())
            .setEnd(batch.end())
            .setWhole(batch.isWhole());
    batch.records().forEach(record -> progress.addRecords(message(record)));
    return Frame.newBuilder().setRecordProgress(deflatedIfLarge(progress.build())).build();
  }

  private static RecordProgress deflatedIfLarge(RecordProgress progress) {
    if (progress.getSerializedSize() <= LARGE_BYTES) {
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
   * Returns a message with all its fields, whether it came deflated or not.
   *
   * @throws IOException when it can't be read
   */
  public static RecordProgress inflated(RecordProgress progress) throws IOException {
    if (progress.getDeflated().isEmpty()) {
      return progress;
    }
    try (InputStream input = new InflaterInputStream(progress.getDeflated().newInput())) {
      byte[] message = input.readNBytes(MAXIMUM_BYTES);
      return RecordProgress.parseFrom(message);
    }
  }

  /** Reads a message back that is {@link #inflated}. */
  public static RecordBatch batch(RecordProgress progress) {
    return new RecordBatch(
        progress.getFrom(),
        progress.getEnd(),
        progress.getWhole(),
        progress.getRecordsList().stream().map(RecordMessages::record).toList());
  }

  private static Record message(KeyedRecord record) {
    Record.Builder message = Record.newBuilder().setOffset(record.offset()).setKey(record.key());
    record.value().ifPresent(value -> message.setValue(ByteString.copyFrom(value)));
    return message.build();
  }

  private static KeyedRecord record(Record message) {
    return new KeyedRecord(
        message.getOffset(),
        message.getKey(),
        message.hasValue() ? Optional.of(message.getValue().toByteArray()) : Optional.empty());
  }
}
