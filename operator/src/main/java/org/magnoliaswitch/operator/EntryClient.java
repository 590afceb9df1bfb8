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

/** Talks to the operators' listener of entry instances. */
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
   * @param base operators' address of one instance
   * @param token bearer token
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

  /** The same client for another instance. */
  public EntryClient at(Member member) {
    return new EntryClient(
        URI.create("http://" + member.host() + ':' + member.operatorPort()), token);
  }

  /** Status of the instance. */
  public InstanceStatus status() throws IOException {
    return read(get("/status"), new TypeReference<>() {});
  }

  /** The version in force at the instance. */
  public VersionView inForce() throws IOException {
    return read(get("/configuration"), new TypeReference<>() {});
  }

  /** The latest accepted versions. */
  public List<ConfigurationStore.Head> history() throws IOException {
    return read(get("/configuration/history"), new TypeReference<>() {});
  }

  /** An accepted version. */
  public VersionView accepted(String manifest) throws IOException {
    return read(get("/configuration/manifests/" + manifest), new TypeReference<>() {});
  }

  /** The recent events of the instance. */
  public List<TimelineEvent> timeline() throws IOException {
    return read(get("/timeline"), new TypeReference<>() {});
  }

  /** Asks for a change. */
  public ChangeReply change(ChangeRequest change) throws IOException {
    HttpPost post = new HttpPost(base.resolve("/configuration/changes"));
    post.setEntity(
        new ByteArrayEntity(Json.MAPPER.writeValueAsBytes(change), ContentType.APPLICATION_JSON));
    return read(execute(post), new TypeReference<>() {});
  }

  /** Takes a server out at once. */
  public void leaving(String server) throws IOException {
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
            throw new IOException(base + " answered with status " + response.getCode());
          }
          return body;
        });
  }

  private static <T> T read(byte[] body, TypeReference<T> type) throws IOException {
    return Json.MAPPER.readValue(body, type);
  }
}
