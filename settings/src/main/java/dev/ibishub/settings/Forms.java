package dev.ibishub.settings;

import dev.ibishub.settings.Key.Form;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Arrays;
import java.util.regex.Pattern;

/** The limits on texts that keys share. */
final class Forms {
  static final Form NAME =
      matching("a name of letters, digits, '.', '_' and '-'", "[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  static final Form ADDRESS =
      matching("an IP number", "\\d{1,3}(\\.\\d{1,3}){3}|[0-9A-Fa-f]*:[0-9A-Fa-f:.]+");
  static final Form SOCKET =
      matching("an IP number and a port, as 10.0.0.1:80", "\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");
  static final Form SHA256 = matching("64 hexadecimal digits", "[0-9a-fA-F]{64}");
  static final Form METHOD = matching("an HTTP method in capitals", "[A-Z]{3,16}");
  static final Form PATH = matching("a path from '/' on, '*' for any part", "/[!-\\[\\]-~]{0,511}");
  static final Form FILE = matching("a path of a file", "[^\\p{Cntrl}]{1,1024}");
  static final Form SECRET = matching("8 to 512 printable characters", "[!-~]{8,512}");
  static final Form URL = new Form("an http or https URL", Forms::isUrl);

  private Forms() {}

  static Form oneOf(String... choices) {
    return new Form(
        "one of " + String.join(", ", choices), text -> Arrays.asList(choices).contains(text));
  }

  private static Form matching(String words, String expression) {
    return new Form(words, Pattern.compile(expression).asMatchPredicate());
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
