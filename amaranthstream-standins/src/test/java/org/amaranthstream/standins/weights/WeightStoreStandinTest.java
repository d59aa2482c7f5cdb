package org.amaranthstream.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.amaranthstream.standins.Calls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class WeightStoreStandinTest {
  private static final int SIZE_BYTES = 100_000;

  private final WeightStoreStandin store =
      WeightStoreStandin.builder().sizeBytes(SIZE_BYTES).megabitsPerSecond(300).start();
  private final Calls calls = new Calls();
  private final String model = store.url() + "/v1/models/coder";

  @AfterEach
  void close() {
    calls.close();
    store.close();
  }

  @Test
  void latestIsTheGreatestVersionPublished() throws IOException {
    assertThat(calls.get(model + "/latest").status()).isEqualTo(404);
    calls.put(model + "/versions/5", "");
    calls.put(model + "/versions/4", "");
    assertThat(calls.get(model + "/latest").body().toString()).isEqualTo("{\"version\":5}");
  }

  @Test
  void contentOfPublishedVersionsIsWhole() throws IOException {
    calls.put(model + "/versions/5", "");
    assertThat(calls.get(model + "/versions/5/content").body().length()).isEqualTo(SIZE_BYTES);
    assertThat(calls.get(model + "/versions/6/content").status()).isEqualTo(404);
  }
}
