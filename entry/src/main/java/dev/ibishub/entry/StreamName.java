package dev.ibishub.entry;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Name under which a caller resumes a streamed answer, at any entry. It encodes which agent keeps
 * the answer, so entries need no state for it.
 *
 * @param target the target whose agent keeps the answer
 * @param attemptId id of the attempt
 * @param model the model's name as the caller wrote it
 * @param chat whether the answer is in the format of a chat completion
 */
record StreamName(String target, String attemptId, String model, boolean chat) {
  private static final Pattern FORMAT = Pattern.compile("([^|]+)\\|([^|]+)\\|([^|]+)\\|([ct])");

  String encode() {
    String plain = target + "|" + attemptId + "|" + model + "|" + (chat ? "c" : "t");
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(plain.getBytes(StandardCharsets.UTF_8));
  }

  static StreamName decode(String text) {
    Matcher parts = FORMAT.matcher(decodeBase64(text));
    if (!parts.matches()) {
      throw malformed();
    }
    return new StreamName(
        parts.group(1), parts.group(2), parts.group(3), parts.group(4).equals("c"));
  }

  private static String decodeBase64(String text) {
    try {
      return new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw malformed();
    }
  }

  private static ResultException malformed() {
    return new ResultException(
        ResultCode.MALFORMED_REQUEST, "no name that an entry gave in Ibishub-Stream");
  }
}
