/* Macros of libraries, for cppcheck, which does not read their headers. */
#define json_array_foreach(array, index, value)                                                    \
  for (index = 0; (value = json_array_get (array, index)) != NULL; index++)
#define START_TEST(name) static void name (int _i)
#define END_TEST
