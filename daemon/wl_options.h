#ifndef WL_OPTIONS_H
#define WL_OPTIONS_H

#include "wisterialoft.h"

enum
{
  WL_TEXT_OPTION_SIZE = 512,
};

/** struct WlControlPeer - address of a control replica */
typedef struct
{
  uint32_t node;
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
} WlControlPeer;

/**
 * struct WlOptions - checked settings of the daemon
 * @settings: settings of the core
 * @control: addresses of the control replicas, @n_control of them
 * @data_folder: data folder of a control replica, otherwise empty
 * @cluster_key: shared key of all nodes
 * @operator_key: key that operators send
 * @endpoint_key: key that endpoints send
 * @tls_certificate: path of a PEM certificate, empty for plain HTTP
 * @tls_key: path of its PEM key
 */
typedef struct
{
  WlSettings settings;
  WlControlPeer control[WL_MAX_REPLICAS];
  uint32_t n_control;
  char data_folder[WL_TEXT_OPTION_SIZE];
  char cluster_key[WL_TEXT_OPTION_SIZE];
  char operator_key[WL_TEXT_OPTION_SIZE];
  char endpoint_key[WL_TEXT_OPTION_SIZE];
  char tls_certificate[WL_TEXT_OPTION_SIZE];
  char tls_key[WL_TEXT_OPTION_SIZE];
} WlOptions;

/**
 * enum WlOptionsResult - what to do after reading the settings
 * @WL_OPTIONS_RUN: run with them
 * @WL_OPTIONS_EXIT: help, version or the result of a check was printed
 * @WL_OPTIONS_INVALID: all findings were printed to standard error
 */
typedef enum
{
  WL_OPTIONS_RUN,
  WL_OPTIONS_EXIT,
  WL_OPTIONS_INVALID,
} WlOptionsResult;

/** wl_options_is_check() - whether the settings are only to be checked */
int wl_options_is_check (int argc, char **argv);

/**
 * wl_options_read() - reads flags and environment variables
 * @argc: number of arguments
 * @argv: arguments
 * @out: receives the settings
 *
 * Every flag --some-flag can also be given as WISTERIALOFT_SOME_FLAG; the flag
 * wins.
 *
 * Return: what to do.
 */
WlOptionsResult wl_options_read (int argc, char **argv, WlOptions *out);

/**
 * wl_options_is_ip() - tells whether a text is an IP number
 * @s: the text
 *
 * Return: 1 for IPv4 or IPv6, otherwise 0.
 */
int wl_options_is_ip (const char *s);

#endif
