// RAII wrappers of the SQLite C API: a database handle and its prepared statements.
#ifndef VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_

#include <sqlite3.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace violetwing::sqlite {

/// One execution of a prepared statement: bind the parameters, then step. The statement is reset when this
/// object ends, so that no read stays open. Parameters count from 1, columns from 0.
class Statement {
 public:
  /// `statement` is owned by the database; null if it could not be prepared: Run and Next then return false.
  explicit Statement(sqlite3_stmt* statement);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  /// Set a parameter; the value is copied.
  Statement& Bind(int parameter, std::uint64_t number);
  Statement& BindText(int parameter, const std::string& text);
  Statement& BindBlob(int parameter, const std::string& bytes);

  /// Executes a statement without rows. False on an error.
  bool Run();
  /// Advances to the next row. False at the end and on an error.
  bool Next();

  /// Columns of the current row.
  int Int(int column) const;
  std::uint64_t Unsigned(int column) const;
  std::string Text(int column) const;
  std::string Blob(int column) const;

 private:
  sqlite3_stmt* const statement_;
};

/// A database file. It is used by one thread at a time.
class Database {
 public:
  /// Opens or creates the file. False on an error; ErrorMessage tells the reason.
  bool Open(const std::string& file);
  /// Executes SQL text without parameters, of one or more statements. False on an error.
  bool Execute(const char* sql);
  /// A statement to bind and run. It is prepared once and cached by its text; at most one execution of the
  /// same text may exist at a time.
  Statement Prepare(const std::string& sql);
  /// The reason of the last failed call of this object or of its statements.
  std::string ErrorMessage() const;

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close(handle); }
  };
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };

  std::unique_ptr<sqlite3, Close> handle_;
  std::map<std::string, std::unique_ptr<sqlite3_stmt, Finalize>> statements_;  // by text; closed before it
};

}  // namespace violetwing::sqlite

#endif  // VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
