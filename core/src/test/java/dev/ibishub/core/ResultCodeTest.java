package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
  private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");

  @Test
  void resultCodesPageMatchesEnum() throws Exception {
    String page = Files.readString(PAGE);

    assertThat(page.lines().filter(line -> line.startsWith("| ") && line.contains("`")))
        .containsExactlyElementsOf(
            Arrays.stream(ResultCode.values())
                .map(ResultCodeTest::row)
                .collect(Collectors.toList()));
  }

  @Test
  void notRunCodesNeverLeaveRetryToCaller() {
    assertThat(ResultCode.values())
        .filteredOn(code -> code.outcome() == Outcome.NOT_RUN)
        .noneMatch(code -> code.retry() == ResultCode.Retry.CALLER_DECIDES);
  }

  private static String row(ResultCode code) {
    return String.format(
        "| %d | `%s` | %s | %d | %s |",
        code.number(),
        code,
        code.outcome().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
        code.httpStatus(),
        code.retry().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '));
  }
}
