#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "wl_options.h"

enum
{
  MAX_ERRORS = 20,
  MAX_NODE = 4095,
  DEFAULT_RETENTION_S = 3600,
};

typedef enum
{
  OPTION_NODE_ID,
  OPTION_ADDRESS,
  OPTION_HTTP_PORT,
  OPTION_PEER_PORT,
  OPTION_DOMAIN,
  OPTION_CONTROL_PEERS,
  OPTION_DATA_FOLDER,
  OPTION_CLUSTER_KEY,
  OPTION_OPERATOR_KEY,
  OPTION_ENDPOINT_KEY,
  OPTION_CLAIM_RETENTION_S,
  OPTION_POLICY,
  OPTION_TLS_CERTIFICATE,
  OPTION_TLS_KEY,
  OPTIONS,
  TABLE_SIZE = OPTIONS + 4, /* with help, version, check and the end */
} OptionId;

#define CHECK_FLAG "check-settings"

typedef struct
{
  const char *flag;
  const char *value;
  const char *help;
  uint8_t required;
} OptionInfo;

static const OptionInfo infos[OPTIONS] = {
  [OPTION_NODE_ID] = { "node-id", "N", "id of this node, 1 to 4095", 1 },
  [OPTION_ADDRESS] = { "address", "IP", "IP number of this node", 1 },
  [OPTION_HTTP_PORT] = { "http-port", "PORT", "TCP port for callers, endpoints, operators", 1 },
  [OPTION_PEER_PORT] = { "peer-port", "PORT", "TCP port for other nodes", 1 },
  [OPTION_DOMAIN] = { "domain", "NAME", "failure domain of this node", 1 },
  [OPTION_CONTROL_PEERS]
  = { "control-peers", "LIST", "control replicas: N=IP:PORT,... (1, 3, 5 or 7)", 1 },
  [OPTION_DATA_FOLDER] = { "data-folder", "PATH", "data folder, on control replicas only", 0 },
  [OPTION_CLUSTER_KEY] = { "cluster-key", "KEY", "secret shared by all nodes", 1 },
  [OPTION_OPERATOR_KEY] = { "operator-key", "KEY", "key that operators send", 1 },
  [OPTION_ENDPOINT_KEY] = { "endpoint-key", "KEY", "key that endpoints send", 1 },
  [OPTION_CLAIM_RETENTION_S]
  = { "claim-retention-s", "S", "how long outcomes under a key are kept (3600)", 0 },
  [OPTION_POLICY]
  = { "policy", "NAME", "adaptive, round-robin, least-loaded or fifo (adaptive)", 0 },
  [OPTION_TLS_CERTIFICATE] = { "tls-certificate", "PATH", "PEM certificate for HTTPS", 0 },
  [OPTION_TLS_KEY] = { "tls-key", "PATH", "PEM key for HTTPS", 0 },
};

typedef struct
{
  struct arg_str *strings[OPTIONS];
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_lit *check;
  struct arg_end *end;
  void *table[TABLE_SIZE];
  uint32_t errors;
} Reader;

static void
complain (Reader *r, const char *flag, const char *text)
{
  fprintf (stderr, "wisterialoftd: --%s: %s\n", flag, text);
  r->errors++;
}

static const char *
value_of (Reader *r, OptionId id)
{
  char name[64] = "WISTERIALOFT_";
  size_t n = strlen (name);
  if (r->strings[id]->count > 0)
    return r->strings[id]->sval[0];
  for (const char *c = infos[id].flag; *c != '\0' && n + 1 < sizeof name; c++)
    name[n++] = *c == '-' ? '_' : (char)toupper ((unsigned char)*c);
  name[n] = '\0';
  const char *v = getenv (name);
  return v != NULL && *v != '\0' ? v : NULL;
}

static uint64_t
read_number (Reader *r, OptionId id, uint64_t min, uint64_t max, uint64_t fallback)
{
  const char *s = value_of (r, id);
  char *end = NULL;
  char text[96];
  if (s == NULL)
    return fallback;
  uint64_t v = strtoull (s, &end, 10);
  if (*s >= '0' && *s <= '9' && *end == '\0' && v >= min && v <= max)
    return v;
  snprintf (text, sizeof text, "expected a whole number from %lu to %lu", (unsigned long)min,
            (unsigned long)max);
  complain (r, infos[id].flag, text);
  return fallback;
}

static void
read_text (Reader *r, OptionId id, char *out, size_t size)
{
  const char *s = value_of (r, id);
  if (s == NULL)
    return;
  if (strlen (s) >= size)
    complain (r, infos[id].flag, "the value is too long");
  else
    strcpy (out, s);
}

int
wl_options_is_ip (const char *s)
{
  uint8_t bytes[16];
  return inet_pton (AF_INET, s, bytes) == 1 || inet_pton (AF_INET6, s, bytes) == 1;
}

static int
read_peer (const char *text, WlControlPeer *out)
{
  char copy[128];
  char *end = NULL;
  if (strlen (text) >= sizeof copy)
    return 0;
  strcpy (copy, text);
  char *equals = strchr (copy, '=');
  char *colon = strrchr (copy, ':');
  if (equals == NULL || colon == NULL || colon < equals)
    return 0;
  *equals = '\0';
  *colon = '\0';
  out->node = (uint32_t)strtoul (copy, &end, 10);
  if (*end != '\0' || out->node == 0 || out->node > MAX_NODE)
    return 0;
  out->port = (uint32_t)strtoul (colon + 1, &end, 10);
  if (*end != '\0' || out->port == 0 || out->port > 65535 || !wl_options_is_ip (equals + 1))
    return 0;
  strcpy (out->address, equals + 1);
  return 1;
}

static void
read_peers (Reader *r, WlOptions *out)
{
  const char *s = value_of (r, OPTION_CONTROL_PEERS);
  char copy[1024];
  char *state = NULL;
  if (s == NULL)
    return;
  snprintf (copy, sizeof copy, "%s", s);
  for (char *item = strtok_r (copy, ",", &state); item != NULL; item = strtok_r (NULL, ",", &state))
    {
      if (out->n_control == WL_MAX_REPLICAS || !read_peer (item, &out->control[out->n_control]))
        {
          complain (r, "control-peers", "expected up to 7 items of the form N=IP:PORT");
          return;
        }
      for (uint32_t i = 0; i < out->n_control; i++)
        if (out->control[i].node == out->control[out->n_control].node)
          complain (r, "control-peers", "a node id is listed twice");
      out->settings.control_nodes[out->n_control] = out->control[out->n_control].node;
      out->n_control++;
    }
  out->settings.n_control = out->n_control;
  if (out->n_control % 2 == 0)
    complain (r, "control-peers", "expected 1, 3, 5 or 7 replicas");
}

static void
read_policy (Reader *r, WlOptions *out)
{
  static const char *const names[] = { "adaptive", "round-robin", "least-loaded", "fifo" };
  const char *s = value_of (r, OPTION_POLICY);
  if (s == NULL)
    return;
  for (uint32_t i = 0; i < 4; i++)
    if (strcmp (s, names[i]) == 0)
      {
        out->settings.policy = i;
        return;
      }
  complain (r, "policy", "expected adaptive, round-robin, least-loaded or fifo");
}

static void
check_required (Reader *r)
{
  for (int i = 0; i < OPTIONS; i++)
    if (infos[i].required && value_of (r, (OptionId)i) == NULL)
      complain (r, infos[i].flag, "is required");
}

static void
check_role (Reader *r, WlOptions *out)
{
  int is_control = 0;
  for (uint32_t i = 0; i < out->n_control; i++)
    is_control |= out->control[i].node == out->settings.self.node;
  if (is_control && out->data_folder[0] == '\0')
    complain (r, "data-folder", "is required on a control replica");
  if (!is_control && out->data_folder[0] != '\0')
    complain (r, "data-folder", "is only for nodes listed in --control-peers");
  if ((out->tls_certificate[0] == '\0') != (out->tls_key[0] == '\0'))
    complain (r, "tls-certificate", "needs --tls-key, and the other way round");
}

static void
read_all (Reader *r, WlOptions *out)
{
  WlMember *self = &out->settings.self;
  self->node = (uint32_t)read_number (r, OPTION_NODE_ID, 1, MAX_NODE, 0);
  self->http_port = (uint32_t)read_number (r, OPTION_HTTP_PORT, 1, 65535, 0);
  self->peer_port = (uint32_t)read_number (r, OPTION_PEER_PORT, 1, 65535, 0);
  read_text (r, OPTION_ADDRESS, self->address, sizeof self->address);
  if (self->address[0] != '\0' && !wl_options_is_ip (self->address))
    complain (r, "address", "expected an IP number");
  read_text (r, OPTION_DOMAIN, self->domain, sizeof self->domain);
  read_peers (r, out);
  read_text (r, OPTION_DATA_FOLDER, out->data_folder, sizeof out->data_folder);
  read_text (r, OPTION_CLUSTER_KEY, out->cluster_key, sizeof out->cluster_key);
  read_text (r, OPTION_OPERATOR_KEY, out->operator_key, sizeof out->operator_key);
  read_text (r, OPTION_ENDPOINT_KEY, out->endpoint_key, sizeof out->endpoint_key);
  out->settings.claim_retention_us
      = 1000000 * read_number (r, OPTION_CLAIM_RETENTION_S, 1, 7 * 86400, DEFAULT_RETENTION_S);
  read_policy (r, out);
  read_text (r, OPTION_TLS_CERTIFICATE, out->tls_certificate, sizeof out->tls_certificate);
  read_text (r, OPTION_TLS_KEY, out->tls_key, sizeof out->tls_key);
  check_required (r);
  check_role (r, out);
}

static void
build_table (Reader *r)
{
  for (int i = 0; i < OPTIONS; i++)
    {
      r->strings[i] = arg_str0 (NULL, infos[i].flag, infos[i].value, infos[i].help);
      r->table[i] = r->strings[i];
    }
  r->help = arg_lit0 (NULL, "help", "print this text");
  r->version = arg_lit0 (NULL, "version", "print the version");
  r->check = arg_lit0 (NULL, CHECK_FLAG, "check the settings and exit");
  r->end = arg_end (MAX_ERRORS);
  r->table[OPTIONS] = r->help;
  r->table[OPTIONS + 1] = r->version;
  r->table[OPTIONS + 2] = r->check;
  r->table[OPTIONS + 3] = r->end;
}

int
wl_options_is_check (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--" CHECK_FLAG) == 0)
      return 1;
  return 0;
}

WlOptionsResult
wl_options_read (int argc, char **argv, WlOptions *out)
{
  Reader r = { 0 };
  WlOptionsResult result = WL_OPTIONS_RUN;
  memset (out, 0, sizeof *out);
  build_table (&r);
  int errors = arg_parse (argc, argv, r.table);
  if (r.help->count > 0)
    {
      printf ("Usage: wisterialoftd [OPTIONS]\n"
              "Every option can also be set as WISTERIALOFT_NAME in the environment.\n\n");
      arg_print_glossary (stdout, r.table, "  %-28s %s\n");
      result = WL_OPTIONS_EXIT;
    }
  else if (r.version->count > 0)
    {
      printf ("wisterialoftd %s\n", WL_VERSION);
      result = WL_OPTIONS_EXIT;
    }
  else
    {
      if (errors > 0)
        arg_print_errors (stderr, r.end, "wisterialoftd");
      read_all (&r, out);
      if (errors > 0 || r.errors > 0)
        result = WL_OPTIONS_INVALID;
      else if (r.check->count > 0)
        {
          printf ("the settings are valid\n");
          result = WL_OPTIONS_EXIT;
        }
    }
  arg_freetable (r.table, TABLE_SIZE);
  return result;
}
