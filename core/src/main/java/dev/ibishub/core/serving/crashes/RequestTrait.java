package dev.ibishub.core.serving.crashes;

import java.util.Objects;

/**
 * Something that requests may have in common and that may crash each target that serves them.
 *
 * @param kind what it is
 * @param service name of the service at whose targets it counts; empty for a whole request, as its
 *     id names the path
 * @param id its id; unique within its kind and service
 */
public record RequestTrait(Kind kind, String service, String id) {
  /** The kinds of traits. */
  public enum Kind {
    /** A part of the prompt that requests share. */
    PROMPT_PART,
    /** The whole request, which may be sent again unchanged. */
    WHOLE_REQUEST
  }

  /** Checks that nothing is missing. */
  public RequestTrait {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(service);
    Objects.requireNonNull(id);
  }

  /** Returns the trait of having a part in the prompt. */
  public static RequestTrait ofPart(String service, String partId) {
    return new RequestTrait(Kind.PROMPT_PART, service, partId);
  }

  /** Returns the trait of being one particular request. */
  public static RequestTrait ofRequest(RequestIdentity identity) {
    return new RequestTrait(Kind.WHOLE_REQUEST, "", identity.digest());
  }

  boolean isPart() {
    return kind == Kind.PROMPT_PART;
  }
}
