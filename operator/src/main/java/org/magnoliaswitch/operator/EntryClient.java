package org.magnoliaswitch.operator;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.magnoliaswitch.core.operator.ChangeReply;
import org.magnoliaswitch.core.operator.ChangeRequest;
import org.magnoliaswitch.core.operator.InstanceStatus;
import org.magnoliaswitch.core.operator.VersionView;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.process.ConfigurationStore;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.magnoliaswitch.core.version.Json;

/** HTTP client of the operator API of entry instances. */
public final class EntryClient implements AutoCloseable {
  private static final Timeout TIMEOUT = Timeout.ofSeconds(15);
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;

  private final URI base;
  private final String token;
  private final CloseableHttpClient client;

  /**
   * Creates a client.
   *
   * @param base URL of the operator port of one instance
   * @param token bearer token of operators
   */
  public EntryClient(URI base, String token) {
    this.base = base;
    this.token = token;
    this.client =
        HttpClients.custom()
            .setDefaultRequestConfig(RequestConfig.custom().setResponseTimeout(TIMEOUT).build())
            .disableAutomaticRetries()
            .build();
  }

  /** Creates a client of another instance with the same token. */
  public EntryClient at(Member member) {
    return new EntryClient(
        URI.create("http://" + member.host() + ':' + member.operatorPort()), token);
  }

  /** Returns the status of the instance. */
  public InstanceStatus status() throws IOException {
    return parse(get("/status"), new TypeReference<>() {});
  }

  /** Returns the version in force at the instance, with all its declarations. */
  public VersionView inForce() throws IOException {
    return parse(get("/configuration"), new TypeReference<>() {});
  }

  /** Returns the latest accepted versions, newest first. */
  public List<ConfigurationStore.Head> history() throws IOException {
    return parse(get("/configuration/history"), new TypeReference<>() {});
  }

  /** Returns the accepted version whose manifest has this digest. */
  public VersionView accepted(String digest) throws IOException {
    return parse(get("/configuration/manifests/" + digest), new TypeReference<>() {});
  }

  /** Returns the recent events of the instance. */
  public List<TimelineEvent> timeline() throws IOException {
    return parse(get("/timeline"), new TypeReference<>() {});
  }

  /** Submits a change of the configuration. */
  public ChangeReply submit(ChangeRequest change) throws IOException {
    HttpPost post = new HttpPost(base.resolve("/configuration/changes"));
    post.setEntity(
        new ByteArrayEntity(Json.MAPPER.writeValueAsBytes(change), ContentType.APPLICATION_JSON));
    return parse(execute(post), new TypeReference<>() {});
  }

  /** Stops new requests to a server, at the instance at once and at its peers through gossip. */
  public void markLeaving(String server) throws IOException {
    byte[] unused = execute(new HttpPost(base.resolve("/servers/" + server + "/leaving")));
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  private byte[] get(String path) throws IOException {
    return execute(new HttpGet(base.resolve(path)));
  }

  private byte[] execute(HttpUriRequestBase request) throws IOException {
    request.setHeader("Authorization", "Bearer " + token);
    return client.execute(
        request,
        response -> {
          byte[] body =
              response.getEntity() == null
                  ? new byte[0]
                  : EntityUtils.toByteArray(response.getEntity());
          if (response.getCode() != OK && response.getCode() != NO_CONTENT) {
            throw new IOException(base + " responded with status " + response.getCode());
          }
          return body;
        });
  }

  private static <T> T parse(byte[] body, TypeReference<T> type) throws IOException {
    return Json.MAPPER.readValue(body, type);
  }
}
