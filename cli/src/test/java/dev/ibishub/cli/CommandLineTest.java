package dev.ibishub.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

final class CommandLineTest {
  private static final Path BROKEN =
      Path.of("..", "settings", "src", "test", "resources", "broken");

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private HttpServer server;

  /** HTTP status to answer with; 0 closes the connection without a response. */
  private int status = 200;

  private String answer = "{}";

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
          String token = exchange.getRequestHeaders().getFirst("Authorization");
          String line =
              exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + token + " ";
          requests.add(line + body);
          if (status == 0) {
            exchange.close();
            return;
          }
          exchange.sendResponseHeaders(status, answer.getBytes(UTF_8).length);
          exchange.getResponseBody().write(answer.getBytes(UTF_8));
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  private String url() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  private ExitCode run(String... arguments) {
    return new CommandLine(
            Map.of("IBISHUB_TOKEN", "t", "IBISHUB_KEY", "k", "IBISHUB_URL", url()),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8))
        .run(arguments);
  }

  private String file(String text) throws IOException {
    return Files.writeString(folder.resolve("file.json"), text).toString();
  }

  static Stream<String> commands() {
    return CommandLine.COMMANDS.stream().map(Command::name);
  }

  @ParameterizedTest
  @MethodSource("commands")
  void eachCommandHasHelpAndVersion(String command) {
    assertThat(run(command, "--help")).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).startsWith("ibishub " + command).contains("--output");
    assertThat(run(command, "--version")).isEqualTo(ExitCode.DONE);
    assertThat(requests).isEmpty();
  }

  static List<Path> brokenFiles() throws IOException {
    try (Stream<Path> files = Files.list(BROKEN)) {
      return files.sorted().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("brokenFiles")
  void validateReportsPositionOfFaultAndSendsNoRequest(Path file) throws IOException {
    String place = Files.readString(file).substring("// ".length()).split(": ", 2)[0];
    String[] lineAndColumn = place.split(":", 2);

    ExitCode code = run("validate", "--base-file", file.toString(), "--output", "json");

    assertThat(code).isEqualTo(ExitCode.REFUSED);
    assertThat(out.toString(UTF_8))
        .contains("\"line\":" + lineAndColumn[0])
        .contains("\"column\":" + lineAndColumn[1]);
    assertThat(requests).isEmpty();
  }

  @Test
  void validateAcceptsValidFile() throws IOException {
    assertThat(run("validate", "--base-file", file("{\"models\": [{\"name\": \"m\"}]}")))
        .isEqualTo(ExitCode.DONE);
  }

  @ParameterizedTest
  @CsvSource({
    "show,                            GET /admin/v1/configuration t",
    "show --revision 3,               GET /admin/v1/configuration?revision=3 t",
    "diff --from 1,                   GET /admin/v1/configuration/diff?from=1 t",
    "diff --from 1 --to 2,            GET /admin/v1/configuration/diff?from=1&to=2 t",
    "history,                         GET /admin/v1/history t",
    "audit,                           GET /admin/v1/audit t",
    "status,                          GET /admin/v1/status t",
    "drain vake-1,                    POST /admin/v1/targets/vake-1/drain t",
    "undrain vake-1,                  POST /admin/v1/targets/vake-1/undrain t",
    "evacuate vake,                   POST /admin/v1/zones/vake/evacuate t",
    "restore vake,                    POST /admin/v1/zones/vake/restore t",
    "addresses,                       GET /v1/addresses k",
    "send --service panel --path /q,  GET /services/panel/q k",
  })
  void commandSendsExpectedRequest(String line, String call) {
    assertThat(run(line.split(" ", -1))).isEqualTo(ExitCode.DONE);

    assertThat(requests)
        .singleElement()
        .isEqualTo(call.replaceFirst(" ([tk])$", " Bearer $1") + " ");
  }

  @Test
  void sendPrintsCompletionText() {
    answer = "{\"choices\": [{\"text\": \"a wading bird\"}]}";

    assertThat(run("send", "--model", "dictionary", "--prompt", "ibis")).isEqualTo(ExitCode.DONE);

    assertThat(out.toString(UTF_8)).isEqualTo("a wading bird" + System.lineSeparator());
    assertThat(requests)
        .containsExactly(
            "POST /v1/completions Bearer k"
                + " {\"model\":\"dictionary\",\"prompt\":\"ibis\",\"max_tokens\":64}");
  }

  @Test
  void publishBasesEachPartOnRevisionOfPreviousPart() throws IOException {
    answer = "{\"revision\": 8}";
    String file = file("{}");

    ExitCode code =
        run("publish", "--base-file", file, "--overlay", "tbilisi=" + file, "--based-on", "7");

    assertThat(code).isEqualTo(ExitCode.DONE);
    assertThat(requests)
        .containsExactly(
            "POST /admin/v1/configuration Bearer t"
                + " {\"kind\":\"base\",\"basedOnRevision\":7,\"content\":\"{}\"}",
            "POST /admin/v1/configuration Bearer t"
                + " {\"kind\":\"overlay:tbilisi\",\"basedOnRevision\":8,\"content\":\"{}\"}");
  }

  @Test
  void conflictPrintsTitleAndDetail() throws IOException {
    status = 409;
    answer =
        "{\"title\":\"configuration conflict\",\"outcome\":\"not run\",\"detail\":\"nino won\"}";

    assertThat(run("publish", "--base-file", file("{}"), "--based-on", "7"))
        .isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString(UTF_8)).contains("configuration conflict: nino won");
  }

  /**
   * Guards against telling the user that nothing ran although it may have. Entries write the
   * outcome in words; a program that looks for the name of the result code takes the reply for a
   * refusal.
   */
  @Test
  void undecidedPublicationExitsWithOutcomeUnknown() throws IOException {
    status = 503;
    answer = "{\"title\":\"configuration undecided\",\"outcome\":\"outcome unknown\"}";

    assertThat(run("publish", "--base-file", file("{}"), "--based-on", "7"))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
  }

  /**
   * The connection breaks after the entry received a publication. Whether it took effect is
   * unknown, so the program must report neither success nor refusal.
   */
  @Test
  void connectionLostAfterPublishingExitsWithOutcomeUnknown() throws IOException {
    status = 0;

    assertThat(run("publish", "--base-file", file("{}"), "--based-on", "7"))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
  }

  @Test
  void refusedConnectionExitsWithUnreachable() {
    server.stop(0);

    assertThat(run("show")).isEqualTo(ExitCode.UNREACHABLE);
  }

  @ParameterizedTest
  @CsvSource({
    "nonsense",
    "publish",
    "publish --based-on x --base-file f",
    "publish --based-on 1 --overlay nofile",
    "drain",
    "drain ../x",
    "evacuate",
    "restore ../x",
    "show --output xml",
    "show --unknown",
    "validate --base-file /no/such/file",
  })
  void invalidCommandLineExitsWithUsage(String line) {
    assertThat(run(line.split(" ", -1))).isEqualTo(ExitCode.USAGE);
    assertThat(requests).isEmpty();
  }

  @Test
  void tablePrintsListsInColumns() {
    answer = "{\"revision\":2,\"events\":[{\"author\":\"nino\",\"revision\":2}]}";

    run("history");

    assertThat(out.toString(UTF_8).lines())
        .containsExactly("revision: 2", "events:", "author  revision", "nino    2");
  }
}
