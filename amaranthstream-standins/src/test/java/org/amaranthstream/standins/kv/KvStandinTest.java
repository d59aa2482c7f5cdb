package org.amaranthstream.standins.kv;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.TestHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class KvStandinTest {
  private final KvStandin kv = KvStandin.builder().start();
  private final TestHttpClient http = new TestHttpClient();
  private final String entry = kv.url() + "/v1/kv/claims/a";

  @AfterEach
  void close() {
    http.close();
    kv.close();
  }

  @Nested
  final class Writes {
    @Test
    void takeEffectOnlyAtTheExpectedRevision() throws IOException {
      assertThat(http.put(entry + "?expected=0", "one").status()).isEqualTo(200);
      assertThat(http.put(entry + "?expected=0", "two").status()).isEqualTo(409);
      assertThat(http.put(entry + "?expected=1", "two").status()).isEqualTo(200);
      assertThat(http.get(entry).body().toString()).isEqualTo("two");
    }

    @Test
    void takeEffectAlthoughTheirResponseIsLost() throws IOException {
      kv.control("{\"loseAnswers\": 1}");
      assertThrows(IOException.class, () -> http.put(entry + "?expected=0", "one"));
      assertThat(http.get(entry).body().toString()).isEqualTo("one");
      assertThat(http.put(entry + "?expected=1", "two").status()).isEqualTo(200);
    }

    @Test
    void failInAnOutageAndTakeNoEffect() throws IOException {
      kv.control("{\"outage\": true}");
      assertThat(http.put(entry + "?expected=0", "one").status()).isEqualTo(503);
      kv.control("{\"outage\": false}");
      assertThat(http.get(entry).status()).isEqualTo(404);
    }

    @Test
    void areRejectedAboveTheRateLimit() throws IOException {
      kv.control("{\"writesPerSecond\": 1}");
      http.put(entry + "?expected=0", "one");
      assertThat(http.put(entry + "?expected=1", "two").status()).isEqualTo(429);
    }
  }

  @Nested
  final class Watches {
    @Test
    void returnTheEntryOnceItIsNewer() throws IOException {
      http.put(entry + "?expected=0", "one");
      CompletableFuture<HttpResponse> watch =
          http.callAsync(HttpMethod.GET, entry + "?after=1&waitMs=5000", "");
      http.put(entry + "?expected=1", "two");
      assertThat(watch.join().body().toString()).isEqualTo("two");
    }

    @Test
    void returnNotModifiedAfterTheWait() throws IOException {
      assertThat(http.get(entry + "?after=0&waitMs=20").status()).isEqualTo(304);
    }
  }

  @Nested
  final class Reads {
    @Test
    void areStaleWhileStaleReadsAreOn() throws IOException {
      http.put(entry + "?expected=0", "one");
      kv.control("{\"staleReads\": true}");
      http.put(entry + "?expected=1", "two");
      assertThat(http.get(entry).body().toString()).isEqualTo("one");
      kv.control("{\"staleReads\": false}");
      assertThat(http.get(entry).body().toString()).isEqualTo("two");
    }

    @Test
    void listEntriesByPrefix() throws IOException {
      http.put(entry + "?expected=0", "one");
      http.put(kv.url() + "/v1/kv/other?expected=0", "two");
      String listing = http.get(kv.url() + "/v1/kv?prefix=claims/").body().toString();
      assertThat(listing).contains("claims/a");
      assertThat(listing).doesNotContain("other");
    }

    @Test
    void returnTheListOfVmsThatWasSet() throws IOException {
      kv.setVms(List.of(new Vm("e1", "BACKEND", "r", "z", "127.0.0.1", 9, "coding", true)));
      assertThat(http.get(kv.url() + "/v1/vms").body().toString())
          .contains("\"pool\":\"coding\",\"leaving\":true");
    }
  }

  @Nested
  final class Leases {
    @Test
    void deleteTheirEntriesWhenTheyExpire() throws IOException {
      String lease = "lease-1";
      assertThat(http.post(kv.url() + "/v1/leases", "{\"ttlMs\": 60}").body().toString())
          .contains(lease);
      http.put(entry + "?expected=0&lease=" + lease, "one");
      assertThat(http.get(entry + "?after=1&waitMs=5000").status()).isEqualTo(404);
      assertThat(http.post(kv.url() + "/v1/leases/" + lease + "/renew", "").status())
          .isEqualTo(404);
    }
  }

  @Test
  void rejectsAnUnknownSwitch() throws IOException {
    assertThat(http.post(kv.url() + "/v1/control", "{\"nonsense\": 1}").status()).isEqualTo(400);
  }
}
