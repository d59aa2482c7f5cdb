package org.amaranthstream.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.amaranthstream.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class WeightStoreStandinTest {
  private static final int SIZE_BYTES = 100_000;

  private final WeightStoreStandin store =
      WeightStoreStandin.builder().sizeBytes(SIZE_BYTES).megabitsPerSecond(300).start();
  private final TestHttpClient http = new TestHttpClient();
  private final String model = store.url() + "/v1/models/coder";

  @AfterEach
  void close() {
    http.close();
    store.close();
  }

  @Test
  void latestIsTheHighestPublishedVersion() throws IOException {
    assertThat(http.get(model + "/latest").status()).isEqualTo(404);
    http.put(model + "/versions/5", "");
    http.put(model + "/versions/4", "");
    assertThat(http.get(model + "/latest").body().toString()).isEqualTo("{\"version\":5}");
  }

  @Test
  void contentOfPublishedVersionsIsComplete() throws IOException {
    http.put(model + "/versions/5", "");
    assertThat(http.get(model + "/versions/5/content").body().length()).isEqualTo(SIZE_BYTES);
    assertThat(http.get(model + "/versions/6/content").status()).isEqualTo(404);
  }
}
