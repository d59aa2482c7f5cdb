import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Random;

/** Batch jobs as trainers submit them. */
final class Jobs {
  private Jobs() {}

  /** Returns a submission of {@code items} items with bodies of {@code bodyBytes} random bytes. */
  static byte[] body(String id, int items, int bodyBytes, long seed) {
    Random random = new Random(seed);
    StringBuilder json = new StringBuilder("{\"trainStep\":0,\"model\":\"" + Deployment.MODEL
        + "\",\"minVersion\":1,\"groupCount\":" + Math.max(1, items / 8) + ",\"items\":[");
    byte[] body = new byte[bodyBytes];
    for (int i = 0; i < items; i++) {
      random.nextBytes(body);
      json.append(i == 0 ? "" : ",").append("{\"id\":\"").append(id).append("x").append(i)
          .append("\",\"path\":\"/pufi791/3/").append(i)
          .append("\",\"headers\":{\"X-Amaranthstream-Model\":\"").append(Deployment.MODEL)
          .append("\",\"X-Amaranthstream-Token-Counts\":\"540,400\",\"X-Amaranthstream-Prompt-Prefix\":\"9c")
          .append(i / 8).append(":300,5d").append(i).append(":240\"},\"body\":\"")
          .append(Base64.getEncoder().encodeToString(body)).append("\",\"tokens\":940,\"groupId\":\"g")
          .append(i / 8).append("\"}");
    }
    return json.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> headers(String id) {
    return Map.of("X-Amaranthstream-Request-Id", id, "Content-Type", "application/json",
        "X-Amaranthstream-Deadline-Ms", "12000");
  }
}
