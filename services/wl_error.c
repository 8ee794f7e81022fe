#include "wl_error.h"

const char *
wl_strerror (WlError error)
{
  switch (error)
    {
    case WL_OK:
      return "success";
    case WL_ERROR_NO_MEMORY:
      return "out of memory";
    case WL_ERROR_INVALID:
      return "malformed input";
    case WL_ERROR_SYSTEM:
      return "system call failed";
    case WL_ERROR_CORRUPT:
      return "stored data is damaged";
    case WL_ERROR_LOCKED:
      return "data folder is in use by another process";
    case WL_ERROR_NO_SPACE:
      return "no space left on disk";
    case WL_ERROR_NOT_FOUND:
      return "not found";
    case WL_ERROR_CONFLICT:
      return "conflict";
    }
  return "unknown error";
}
