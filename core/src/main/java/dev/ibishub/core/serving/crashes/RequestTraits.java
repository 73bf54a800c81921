package dev.ibishub.core.serving.crashes;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What a request may have in common with others that crash targets.
 *
 * @param service name of the service that it goes to
 * @param workspace name of the sender's workspace; empty without one
 * @param identity the whole request
 * @param partIds ids of the parts of its prompt that other requests may share
 */
public record RequestTraits(
    String service, String workspace, RequestIdentity identity, List<String> partIds) {
  /** Checks that nothing is missing. */
  public RequestTraits {
    Objects.requireNonNull(service);
    Objects.requireNonNull(workspace);
    Objects.requireNonNull(identity);
    partIds = List.copyOf(partIds);
  }

  /** Returns the traits of the prompt's parts. */
  public Set<RequestTrait> parts() {
    return inOrder(partIds.stream().map(id -> RequestTrait.ofPart(service, id)));
  }

  /** Whether one of the prompt's parts has a trait. */
  boolean hasPart(RequestTrait part) {
    return part.isPart() && part.service().equals(service) && partIds.contains(part.id());
  }

  /** Whether the prompt has all of some parts. */
  boolean hasParts(Collection<RequestTrait> parts) {
    return parts.stream().allMatch(this::hasPart);
  }

  /** Returns all traits. */
  public Set<RequestTrait> all() {
    return inOrder(Stream.concat(Stream.of(RequestTrait.ofRequest(identity)), parts().stream()));
  }

  /** Returns a set that keeps its order, as equal histories have to lead to equal decisions. */
  static Set<RequestTrait> inOrder(Stream<RequestTrait> traits) {
    Set<RequestTrait> ordered = traits.collect(Collectors.toCollection(LinkedHashSet::new));
    return Collections.unmodifiableSet(ordered);
  }

  /** Returns these traits without the parts that don't match. */
  RequestTraits withPartsThat(Predicate<RequestTrait> matches) {
    return new RequestTraits(
        service,
        workspace,
        identity,
        partIds.stream().filter(id -> matches.test(RequestTrait.ofPart(service, id))).toList());
  }
}
