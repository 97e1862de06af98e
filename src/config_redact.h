#pragma once

#include "version_record.h"

/* config_redact - configuration documents without what only control instances need.
 *
 * The annotations of teams and of the document may hold keys of teams in plain text. Entries need
 * digests only, so a document that has a team with annotations is sent to them without both. Other
 * documents are sent as they are. */

/* A configuration as entries get it, kept until the next version. */
typedef struct
{
  version_digest_t source_digest; /* of the text that the redacted one was made from */
  version_digest_t digest;        /* of the redacted text */
  GBytes *text;                   /* redacted; NULL before the first use */
} config_redact_t;

/* Returns the canonical text TEXT without the annotations of teams and, if a team has annotations,
 * without those of the document. Returns TEXT itself if no team has any. Free with g_bytes_unref().
 */
GBytes *config_redact_text (GBytes *text);

/* Returns the redacted form of TEXT, whose seal is SEAL, and stores its digest in SEAL, so that
 * receivers can check what they get. The result is valid until the next call with another text. */
GBytes *config_redact_version (config_redact_t *redact, GBytes *text, version_seal_t *seal);

void config_redact_clear (config_redact_t *redact);
