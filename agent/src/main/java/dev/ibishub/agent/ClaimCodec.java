package dev.ibishub.agent;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.IdempotencyKey;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultException;
import dev.ibishub.wire.generated.Claim;
import dev.ibishub.wire.generated.ClaimBatch;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Encodes and decodes the records of the claim streams. */
final class ClaimCodec {
  private ClaimCodec() {}

  static byte[] encode(ProcessIncarnation owner, List<ClaimRecord> claims) {
    ClaimBatch.Builder batch =
        ClaimBatch.newBuilder().setProcessId(owner.process()).setIncarnation(owner.incarnation());
    claims.forEach(
        claim ->
            batch.addClaims(
                Claim.newBuilder()
                    .setWorkspace(claim.workspace())
                    .setIdempotencyKey(claim.key().text())
                    .setFingerprint(claim.fingerprint())));
    return batch.build().toByteArray();
  }

  /**
   * Decodes a record. Invalid records and claims are skipped, by every reader in the same way, so
   * that all ledgers agree.
   */
  static List<ClaimRecord> decode(byte[] payload) {
    try {
      ClaimBatch batch = ClaimBatch.parseFrom(payload);
      if (batch.getProcessId().isEmpty()) {
        return List.of();
      }
      ProcessIncarnation owner =
          new ProcessIncarnation(batch.getProcessId(), batch.getIncarnation());
      return batch.getClaimsList().stream().flatMap(claim -> decode(owner, claim)).toList();
    } catch (InvalidProtocolBufferException e) {
      return List.of();
    }
  }

  private static Stream<ClaimRecord> decode(ProcessIncarnation owner, Claim claim) {
    return parse(claim.getIdempotencyKey())
        .map(key -> new ClaimRecord(owner, claim.getWorkspace(), key, claim.getFingerprint()))
        .stream();
  }

  private static Optional<IdempotencyKey> parse(String text) {
    try {
      return Optional.of(IdempotencyKey.parse(text));
    } catch (ResultException e) {
      return Optional.empty();
    }
  }
}
