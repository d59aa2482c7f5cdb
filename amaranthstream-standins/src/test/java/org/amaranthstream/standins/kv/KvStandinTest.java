package org.amaranthstream.standins.kv;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.Calls;
import org.amaranthstream.standins.server.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class KvStandinTest {
  private final KvStandin kv = KvStandin.builder().start();
  private final Calls calls = new Calls();
  private final String entry = kv.url() + "/v1/kv/claims/a";

  @AfterEach
  void close() {
    calls.close();
    kv.close();
  }

  @Nested
  final class Writes {
    @Test
    void takeEffectOnlyAtTheExpectedRevision() throws IOException {
      assertThat(calls.put(entry + "?expected=0", "one").status()).isEqualTo(200);
      assertThat(calls.put(entry + "?expected=0", "two").status()).isEqualTo(409);
      assertThat(calls.put(entry + "?expected=1", "two").status()).isEqualTo(200);
      assertThat(calls.get(entry).body().toString()).isEqualTo("two");
    }

    @Test
    void takeEffectAlthoughTheirAnswerIsLost() throws IOException {
      kv.control("{\"loseAnswers\": 1}");
      assertThrows(IOException.class, () -> calls.put(entry + "?expected=0", "one"));
      assertThat(calls.get(entry).body().toString()).isEqualTo("one");
      assertThat(calls.put(entry + "?expected=1", "two").status()).isEqualTo(200);
    }

    @Test
    void areRefusedInAnOutageAndTakeNoEffect() throws IOException {
      kv.control("{\"outage\": true}");
      assertThat(calls.put(entry + "?expected=0", "one").status()).isEqualTo(503);
      kv.control("{\"outage\": false}");
      assertThat(calls.get(entry).status()).isEqualTo(404);
    }

    @Test
    void areRefusedAboveTheRate() throws IOException {
      kv.control("{\"writesPerSecond\": 1}");
      calls.put(entry + "?expected=0", "one");
      assertThat(calls.put(entry + "?expected=1", "two").status()).isEqualTo(429);
    }
  }

  @Nested
  final class Watches {
    @Test
    void answerOnceTheEntryIsNewer() throws IOException {
      calls.put(entry + "?expected=0", "one");
      CompletableFuture<HttpResponse> watch =
          calls.later(HttpMethod.GET, entry + "?after=1&waitMs=5000", "");
      calls.put(entry + "?expected=1", "two");
      assertThat(watch.join().body().toString()).isEqualTo("two");
    }

    @Test
    void answerNotModifiedAfterTheWait() throws IOException {
      assertThat(calls.get(entry + "?after=0&waitMs=20").status()).isEqualTo(304);
    }
  }

  @Nested
  final class Reads {
    @Test
    void areOldWhileStaleReadsAreOn() throws IOException {
      calls.put(entry + "?expected=0", "one");
      kv.control("{\"staleReads\": true}");
      calls.put(entry + "?expected=1", "two");
      assertThat(calls.get(entry).body().toString()).isEqualTo("one");
      kv.control("{\"staleReads\": false}");
      assertThat(calls.get(entry).body().toString()).isEqualTo("two");
    }

    @Test
    void listEntriesByPrefix() throws IOException {
      calls.put(entry + "?expected=0", "one");
      calls.put(kv.url() + "/v1/kv/other?expected=0", "two");
      String listing = calls.get(kv.url() + "/v1/kv?prefix=claims/").body().toString();
      assertThat(listing).contains("claims/a");
      assertThat(listing).doesNotContain("other");
    }

    @Test
    void listVmsThatWereSet() throws IOException {
      kv.setVms(List.of(new Vm("e1", "BACKEND", "r", "z", "127.0.0.1", 9, "coding", true)));
      assertThat(calls.get(kv.url() + "/v1/vms").body().toString())
          .contains("\"pool\":\"coding\",\"leaving\":true");
    }
  }

  @Nested
  final class Leases {
    @Test
    void deleteTheirEntriesWhenTheyEnd() throws IOException {
      String lease = "lease-1";
      assertThat(calls.post(kv.url() + "/v1/leases", "{\"ttlMs\": 60}").body().toString())
          .contains(lease);
      calls.put(entry + "?expected=0&lease=" + lease, "one");
      assertThat(calls.get(entry + "?after=1&waitMs=5000").status()).isEqualTo(404);
      assertThat(calls.post(kv.url() + "/v1/leases/" + lease + "/renew", "").status())
          .isEqualTo(404);
    }
  }

  @Test
  void refusesAnUnknownSwitch() throws IOException {
    assertThat(calls.post(kv.url() + "/v1/control", "{\"nonsense\": 1}").status()).isEqualTo(400);
  }
}
