package dev.ibishub.settings;

import dev.ibishub.settings.Key.TextFormat;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Arrays;
import java.util.regex.Pattern;

/** Formats of text values. */
final class TextFormats {
  static final TextFormat NAME =
      matching("a name of letters, digits, '.', '_' and '-'", "[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  static final TextFormat ADDRESS =
      matching("an IP number", "\\d{1,3}(\\.\\d{1,3}){3}|[0-9A-Fa-f]*:[0-9A-Fa-f:.]+");
  static final TextFormat SOCKET =
      matching("an IP number and a port, as 10.0.0.1:80", "\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");
  static final TextFormat SHA256 = matching("64 hexadecimal digits", "[0-9a-fA-F]{64}");
  static final TextFormat METHOD = matching("an HTTP method in capitals", "[A-Z]{3,16}");
  static final TextFormat PATH =
      matching("a path from '/' on, '*' for any part", "/[!-\\[\\]-~]{0,511}");
  static final TextFormat FILE = matching("a path of a file", "[^\\p{Cntrl}]{1,1024}");
  static final TextFormat SECRET = matching("8 to 512 printable characters", "[!-~]{8,512}");
  static final TextFormat URL = new TextFormat("an http or https URL", TextFormats::isUrl);

  private TextFormats() {}

  static TextFormat oneOf(String... choices) {
    return new TextFormat(
        "one of " + String.join(", ", choices), text -> Arrays.asList(choices).contains(text));
  }

  private static TextFormat matching(String description, String expression) {
    return new TextFormat(description, Pattern.compile(expression).asMatchPredicate());
  }

  private static boolean isUrl(String text) {
    try {
      URI uri = new URI(text);
      return uri.getHost() != null
          && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()));
    } catch (URISyntaxException ignored) {
      return false;
    }
  }
}
