package dev.ibishub.entry;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The name under which a caller joins a streamed answer again, at any entry. It tells that entry
 * which agent has the answer, so no entry needs to remember anything.
 *
 * @param target whose agent has the answer
 * @param attemptId the attempt
 * @param model as the caller named it
 * @param chat whether the answer has the shape of a chat
 */
record StreamName(String target, String attemptId, String model, boolean chat) {
  private static final Pattern FORM = Pattern.compile("([^|]+)\\|([^|]+)\\|([^|]+)\\|([ct])");

  String encode() {
    String plain = target + "|" + attemptId + "|" + model + "|" + (chat ? "c" : "t");
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(plain.getBytes(StandardCharsets.UTF_8));
  }

  static StreamName decode(String text) {
    Matcher parts = FORM.matcher(plain(text));
    if (!parts.matches()) {
      throw malformed();
    }
    return new StreamName(
        parts.group(1), parts.group(2), parts.group(3), parts.group(4).equals("c"));
  }

  private static String plain(String text) {
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
