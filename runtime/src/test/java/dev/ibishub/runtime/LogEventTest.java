package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogEventTest {
  @AfterEach
  void restoreKeyValueFormat() {
    LogSetup.configure("key-value", "test");
  }

  @Test
  void quotesValueWithSpaceInKeyValueFormat() {
    LogEvent event =
        LogEvent.of("request.finished").request("r-1").code(ResultCode.OK).with("by", "a b");

    assertThat(event).hasToString("event=request.finished request=r-1 code=0 result=OK by=\"a b\"");
  }

  @Test
  void escapesQuotesAndLineBreaksInJson() {
    LogSetup.configure("json", "test");

    assertThat(LogEvent.of("x").with("detail", "say \"no\"\n"))
        .hasToString("{\"event\":\"x\",\"detail\":\"say \\\"no\\\"\\n\"}");
  }
}
