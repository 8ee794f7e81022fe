#ifndef WL_TEST_HOST_H
#define WL_TEST_HOST_H

#include <stdio.h>
#include <check.h>
#include "wl_host.h"
#include "wl_test_loopback.h"

/* For tests of the host: nodes on loopback addresses that accept any configuration. */

/* Parses any bytes as a configuration without routes. */
static inline WlRoutes *
wl_test_parse_any (WlBytes text, WlFindings *findings)
{
  (void)text;
  (void)findings;
  return wl_routes_create ();
}

/*
 * Starts node @i, without a disk, in a failure domain. Its only seed is node 0.
 * @ports: its ports for other nodes and for callers
 */
static inline WlHost *
wl_test_start_node (uint32_t i, const uint16_t *ports, const char *zone)
{
  WlHost *host = NULL;
  WlHostOptions options = {
    .node = wl_test_loopback (i + 1),
    .key = "key",
    .peer_port = ports[0],
    .client_port = ports[1],
    .seeds = { wl_test_loopback (1) },
    .n_seeds = 1,
    .parse = wl_test_parse_any,
  };
  snprintf (options.domain, sizeof options.domain, "%s", zone);
  ck_assert_int_eq (wl_host_create (&options, &host), WL_OK);
  return host;
}

#endif
