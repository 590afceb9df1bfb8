# Sets JAVA_HOME to a JDK of 21 or later: the one set already, or the newest installed one.
release_of() { sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null || true; }
if [ -z "${JAVA_HOME:-}" ] || [ "$(release_of "$JAVA_HOME" || echo 0)" -lt 21 ] 2>/dev/null; then
  best=0
  for candidate in /usr/lib/jvm/*; do
    release=$(release_of "$candidate")
    if [ "${release:-0}" -ge 21 ] && [ "${release:-0}" -gt "$best" ]; then
      best=$release
      JAVA_HOME=$candidate
    fi
  done
  if [ "$best" -eq 0 ]; then
    echo "magnoliaswitch needs a JDK of 21 or later: set JAVA_HOME to one." >&2
    exit 2
  fi
fi
export JAVA_HOME
