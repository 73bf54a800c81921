package dev.ibishub.gateway.records;

import com.google.protobuf.ByteString;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Record;
import dev.ibishub.wire.generated.RecordProgress;
import java.util.Optional;

/** Batches of records as messages between entries. */
public final class RecordMessages {
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
    return Frame.newBuilder().setRecordProgress(progress).build();
  }

  /** Reads a message back. */
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
