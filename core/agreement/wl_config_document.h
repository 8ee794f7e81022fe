#ifndef WL_CONFIG_DOCUMENT_H
#define WL_CONFIG_DOCUMENT_H

#include "wl_codec.h"
#include "wl_command.h"
#include "wl_error.h"

/*
 * The replicated document: the operators' configuration with its version, and the evacuations of
 * failure domains. A document without evacuations is the version, 8 bytes, and the text. One with
 * evacuations has the top bit of the version set; the size of the list, 4 bytes, and the list
 * follow the version, then the text. Numbers are big-endian.
 *
 * An entry of the list stays after the end of its evacuation, since its sequence decides whether
 * a late copy of a change still applies.
 */

enum
{
  WL_CONFIG_VERSION_BYTES = 8, /* size of the version in front of the text */
};

/* Versions of configurations are below this. */
#define WL_CONFIG_VERSION_MAX (UINT64_C (1) << 63)

/**
 * struct WlConfigDocument - the replicated document
 * @version: the operators' version of the text; may be 0, see wl_config_document_has_config()
 * @evacuations: the evacuations, @n_evacuations of them
 * @text: the configuration, empty for none
 */
typedef struct
{
  uint64_t version;
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
  WlBytes text;
} WlConfigDocument;

/**
 * wl_config_document_encode() - encodes a document
 * @document: the document
 * @pool: owns the result
 *
 * Return: the encoded document.
 */
WlBytes wl_config_document_encode (const WlConfigDocument *document, apr_pool_t *pool);

/**
 * wl_config_document_decode() - decodes a document
 * @bytes: an encoded document; empty for none
 * @pool: owns the list of evacuations
 * @out: receives the document; its text points into @bytes
 *
 * Return: WL_OK, or WL_ERROR_CORRUPT with an empty document.
 */
WlError wl_config_document_decode (WlBytes bytes, apr_pool_t *pool, WlConfigDocument *out);

/**
 * wl_config_document_has_config() - whether operators have submitted a configuration
 * @document: the document
 *
 * The version does not tell, since operators may number their first configuration 0.
 *
 * Return: 1, or 0 for a document that is empty or has evacuations only.
 */
int wl_config_document_has_config (const WlConfigDocument *document);

/** wl_config_document_evacuation() - state of a failure domain; sequence 0 when never evacuated */
WlEvacuation wl_config_document_evacuation (const WlConfigDocument *document, const char *domain);

/**
 * wl_config_document_evacuate() - starts or ends the evacuation of a failure domain
 * @document: the document, whose list is replaced
 * @domain: the failure domain, in the state that @is_finish leaves
 * @is_finish: ends the evacuation instead of starting it
 * @pool: owns the new list
 *
 * Return: 1, or 0 when the list is full.
 */
int wl_config_document_evacuate (WlConfigDocument *document, const char *domain, int is_finish,
                                 apr_pool_t *pool);

/** wl_config_add_version() - puts a version in front of a configuration; @pool owns the result */
WlBytes wl_config_add_version (uint64_t version, WlBytes config, apr_pool_t *pool);

/**
 * wl_config_split_version() - finds the configuration in a document
 * @document: an encoded document, or empty
 * @version: receives the version; 0, too, for an empty or damaged document
 *
 * Return: the configuration, pointing into @document.
 */
WlBytes wl_config_split_version (WlBytes document, uint64_t *version);

#endif
