#ifndef WL_ERROR_H
#define WL_ERROR_H

/**
 * enum WlError - result of a function that can fail
 * @WL_OK: success
 * @WL_ERROR_NO_MEMORY: an allocation failed
 * @WL_ERROR_INVALID: malformed input
 * @WL_ERROR_SYSTEM: an operating system call failed
 * @WL_ERROR_CORRUPT: stored data is damaged before its last record
 * @WL_ERROR_LOCKED: another process uses the data folder
 * @WL_ERROR_NO_SPACE: the disk is full
 * @WL_ERROR_NOT_FOUND: the named thing does not exist
 * @WL_ERROR_CONFLICT: the replaced number is no longer current
 */
typedef enum
{
  WL_OK = 0,
  WL_ERROR_NO_MEMORY,
  WL_ERROR_INVALID,
  WL_ERROR_SYSTEM,
  WL_ERROR_CORRUPT,
  WL_ERROR_LOCKED,
  WL_ERROR_NO_SPACE,
  WL_ERROR_NOT_FOUND,
  WL_ERROR_CONFLICT,
} WlError;

/**
 * wl_strerror() - describes an error in a few words
 * @error: the error
 *
 * Return: a static string.
 */
const char *wl_strerror (WlError error);

#endif
