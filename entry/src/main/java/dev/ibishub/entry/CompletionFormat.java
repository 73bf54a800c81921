package dev.ibishub.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of a model's answer in the format that the client libraries of callers expect. */
final class CompletionFormat {
  private final String requestId;
  private final String model;
  private final boolean chat;

  CompletionFormat(String requestId, String model, boolean chat) {
    this.requestId = requestId;
    this.model = model;
    this.chat = chat;
  }

  /** Returns the JSON of one chunk of a streamed answer. */
  ObjectNode chunk(String text) {
    ObjectNode answer = head(chat ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = choice(answer);
    if (chat) {
      choice.putObject("delta").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.putNull("finish_reason");
    return answer;
  }

  /** Returns the JSON of a complete answer. */
  ObjectNode completion(String text, long usedTokens) {
    ObjectNode answer = head(chat ? "chat.completion" : "text_completion");
    ObjectNode choice = choice(answer);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "stop");
    answer.putObject("usage").put("total_tokens", usedTokens);
    return answer;
  }

  private ObjectNode head(String object) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", requestId)
        .put("object", object)
        .put("model", model);
  }

  private static ObjectNode choice(ObjectNode answer) {
    return answer.putArray("choices").addObject().put("index", 0);
  }
}
