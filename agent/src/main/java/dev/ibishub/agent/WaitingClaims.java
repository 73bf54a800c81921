package dev.ibishub.agent;

import dev.ibishub.core.ClaimKey;
import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ProcessIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Pending claims by key, and which keys have not been sent to the log yet. Not thread-safe. */
final class WaitingClaims {
  private final Map<ClaimKey, List<WaitingClaim>> byKey = new HashMap<>();
  private final Set<ClaimKey> unsent = new LinkedHashSet<>();

  void add(WaitingClaim claim) {
    ClaimKey key = claim.request().claimKey();
    List<WaitingClaim> sameKey = byKey.computeIfAbsent(key, absent -> new ArrayList<>());
    if (sameKey.isEmpty()) {
      unsent.add(key);
    }
    sameKey.add(claim);
  }

  boolean isAllSent() {
    return unsent.isEmpty();
  }

  /** Removes and returns the next records to append, in the order in which their keys arrived. */
  List<ClaimRecord> takeUnsent(ProcessIncarnation owner, int maximum) {
    List<ClaimRecord> taken = new ArrayList<>();
    Iterator<ClaimKey> keys = unsent.iterator();
    while (keys.hasNext() && taken.size() < maximum) {
      ClaimRequest request = byKey.get(keys.next()).get(0).request();
      taken.add(new ClaimRecord(owner, request.workspace(), request.key(), request.fingerprint()));
      keys.remove();
    }
    return taken;
  }

  /** Removes and returns all claims of a key; empty if there are none. */
  List<WaitingClaim> remove(ClaimKey key) {
    unsent.remove(key);
    List<WaitingClaim> removed = byKey.remove(key);
    return removed == null ? List.of() : removed;
  }

  /** Removes a claim; returns false if it is no longer pending. */
  boolean remove(WaitingClaim claim) {
    ClaimKey key = claim.request().claimKey();
    List<WaitingClaim> sameKey = byKey.get(key);
    if (sameKey == null || !sameKey.remove(claim)) {
      return false;
    }
    if (sameKey.isEmpty()) {
      remove(key);
    }
    return true;
  }
}
