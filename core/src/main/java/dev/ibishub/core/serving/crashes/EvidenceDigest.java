package dev.ibishub.core.serving.crashes;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * A digest of the evidence on crashes by buckets of traits. Two entries compare theirs to find out
 * in which buckets they know something different. Times are left out, as each entry dates evidence
 * by its own clock. Immutable.
 *
 * <pre>{@code
 * EvidenceDigest own = quarantine.digest();
 * CrashFindings missing = quarantine.findings(own.differing(received));
 * }</pre>
 *
 * @param buckets one hash for each bucket; 0 for an empty one
 */
public record EvidenceDigest(List<Long> buckets) {
  /** Number of buckets; the same at all entries. */
  static final int BUCKETS = 64;

  /** The digest of an entry without evidence. */
  public static final EvidenceDigest EMPTY = new EvidenceDigest(List.of());

  /** Copies the list; buckets that are missing are empty. */
  public EvidenceDigest {
    List<Long> given = List.copyOf(buckets);
    buckets =
        IntStream.range(0, BUCKETS)
            .mapToObj(bucket -> bucket < given.size() ? given.get(bucket) : 0L)
            .toList();
  }

  /** Returns the numbers of the buckets in which another digest differs. */
  public Set<Integer> differing(EvidenceDigest other) {
    return IntStream.range(0, BUCKETS)
        .filter(bucket -> !buckets.get(bucket).equals(other.buckets.get(bucket)))
        .boxed()
        .collect(Collectors.toUnmodifiableSet());
  }

  static EvidenceDigest of(CrashEvidence evidence, Collection<Quarantine> quarantines) {
    long[] hashes = new long[BUCKETS];
    evidence.forEach((trait, run) -> hashes[bucket(trait)] ^= hash(trait, run));
    quarantines.forEach(quarantine -> hashes[bucket(quarantine)] ^= hash(quarantine));
    return new EvidenceDigest(LongStream.of(hashes).boxed().toList());
  }

  static int bucket(RequestTrait trait) {
    return Math.floorMod(put(Hashing.komihash5_0().hashStream(), trait).getAsLong(), BUCKETS);
  }

  static int bucket(Quarantine quarantine) {
    return bucket(quarantine.traits().iterator().next());
  }

  private static long hash(RequestTrait trait, CrashedRun run) {
    return put(Hashing.komihash5_0().hashStream(), trait)
        .putString(run.targetIncarnation())
        .putString(run.request().identity().digest())
        .getAsLong();
  }

  private static long hash(Quarantine quarantine) {
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    quarantine.traits().forEach(trait -> put(hash, trait));
    quarantine.workspaces().stream().sorted().forEach(hash::putString);
    return hash.putInt(quarantine.trials()).getAsLong();
  }

  private static HashStream64 put(HashStream64 hash, RequestTrait trait) {
    return hash.putString(trait.kind().name()).putString(trait.service()).putString(trait.id());
  }
}
