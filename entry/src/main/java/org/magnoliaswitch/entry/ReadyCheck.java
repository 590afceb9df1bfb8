package org.magnoliaswitch.entry;

import com.codahale.metrics.health.HealthCheck;
import org.magnoliaswitch.core.process.ControlPlane;

/** Readiness of the instance, shown on the admin pages of Dropwizard. */
final class ReadyCheck extends HealthCheck {
  private final ControlPlane control;

  ReadyCheck(ControlPlane control) {
    this.control = control;
  }

  @Override
  protected Result check() {
    return control.ready() ? Result.healthy() : Result.unhealthy("no configuration, or stopping");
  }
}
