package org.amaranthstream.bench.experiment;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.server.Json;

/** Specifications of the calls that the experiments make. */
final class CallSpecs {
  private static final int DIGEST_CHARS = 16;
  private static final long VERSION_7_BITS = 0x7000L;
  private static final long RANDOM_A_MASK = 0x0FFFL;
  private static final long VARIANT_BITS = 0x8000000000000000L;
  private static final long RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL;

  private CallSpecs() {}

  /**
   * Returns lookups on a model, which are idempotent, have no idempotency key and share a prefix.
   */
  static CallSpec lookups(String run) {
    return new CallSpec(
        "/v1/classes/" + Workload.LOOKUP_CLASS + "/calls",
        call -> Json.text(new Lookup(prompt(run, call), Workload.LOOKUP_MAX_TOKENS)),
        call -> Optional.empty(),
        (call, response) -> countLookupTokens(prompt(run, call), response),
        Workload.LOOKUP_DEADLINE_MS);
  }

  /** Returns orders to a plain service, which are not idempotent and have one key each. */
  static CallSpec orders(String run, long seed) {
    Random random = new Random(seed);
    return new CallSpec(
        "/v1/classes/" + Workload.ORDER_CLASS + "/calls",
        call -> orderBody(run, call),
        call -> Optional.of(uuidVersion7(random)),
        (call, response) -> response.contains(digest(orderBody(run, call))) ? 0 : -1,
        Workload.ORDER_DEADLINE_MS);
  }

  /** Returns the digest that identifies a request body in a service's ledger. */
  static String digest(String body) {
    return Hashing.sha256()
        .hashString(body, StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_CHARS);
  }

  static String orderBody(String run, long call) {
    return "{\"order\": \"" + run + "-" + call + "\"}";
  }

  private static String prompt(String run, long call) {
    return "code the product " + run + "-" + call;
  }

  /**
   * Checks a response by the key in its text. The expected key follows from the prompt alone,
   * because daemons use the hash code of the prompt as the seed of a call.
   */
  private static long countLookupTokens(String prompt, String response) {
    ModelResponse parsed = ModelResponse.parse(response);
    String key = GeneratedText.key(prompt, prompt.hashCode());
    boolean belongsToCall = GeneratedText.keyOf(parsed.text()).equals(key);
    boolean isComplete =
        GeneratedText.isComplete(parsed.text(), parsed.tokens(), Workload.LOOKUP_MAX_TOKENS);
    return belongsToCall && isComplete ? parsed.tokens() : -1;
  }

  private static String uuidVersion7(Random random) {
    long millis = System.currentTimeMillis();
    long high = (millis << 16) | VERSION_7_BITS | (random.nextLong() & RANDOM_A_MASK);
    long low = VARIANT_BITS | (random.nextLong() & RANDOM_B_MASK);
    return new UUID(high, low).toString();
  }

  record Lookup(String prompt, int maxTokens) {}
}
